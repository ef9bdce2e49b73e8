#include "protocol/HttpHeadMessages.h"

#include "messages.pb.h"
#include "protocol/HopByHopHeaders.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace chicoryferry {

namespace {

template <typename Message> void addField(Message& message, const std::string& name, const std::string& value)
{
    message.add_header_names(name);
    message.add_header_values(value);
}

template <typename Head, typename Message> void writeFields(const Head& head, Message& message)
{
    for (const auto& [name, value] : head.headers) {
        addField(message, name, value);
    }
    switch (head.framing) {
    case BodyFraming::None:
        break;
    case BodyFraming::ContentLength:
        addField(message, "content-length", std::to_string(head.contentLength));
        break;
    case BodyFraming::Chunked:
        addField(message, "transfer-encoding", "chunked");
        break;
    case BodyFraming::UntilClose:
        addField(message, "connection", "close");
        break;
    }
}

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char letter) {
        return letter > ' ' && letter != ':' && letter != 0x7f;
    });
}

bool isFieldValue(std::string_view text)
{
    return std::none_of(
        text.begin(), text.end(), [](char letter) { return letter == '\r' || letter == '\n' || letter == '\0'; });
}

bool isTarget(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char letter) {
        return static_cast<unsigned char>(letter) > ' ' && letter != 0x7f;
    });
}

template <typename Head> bool readFraming(const std::string& name, const std::string& value, Head& head)
{
    if (name == "content-length") {
        const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), head.contentLength);
        head.framing = BodyFraming::ContentLength;
        return error == std::errc() && end == value.data() + value.size();
    }
    if (name == "transfer-encoding") {
        head.framing = BodyFraming::Chunked;
        return value == "chunked";
    }
    head.framing = BodyFraming::UntilClose;
    return name == "connection" && value == "close";
}

template <typename Head, typename Message> bool readFields(const Message& message, Head& head)
{
    if (message.header_names_size() != message.header_values_size()) {
        return false;
    }
    for (int index = 0; index < message.header_names_size(); ++index) {
        const std::string& name = message.header_names(index);
        const std::string& value = message.header_values(index);
        if (!isToken(name) || !isFieldValue(value)) {
            return false;
        }
        if (!isHopByHopHeader(name)) {
            head.headers.emplace_back(name, value);
        } else if (head.framing != BodyFraming::None || !readFraming(name, value, head)) {
            return false;
        }
    }
    return true;
}

}

void writeRequestHead(const HttpRequestHead& head, wire::RequestHead& message)
{
    message.set_method(head.method);
    message.set_target(head.target);
    writeFields(head, message);
}

void writeAnswerHead(const HttpAnswerHead& head, wire::AnswerHead& message)
{
    message.set_status(head.status);
    writeFields(head, message);
}

std::optional<HttpRequestHead> readRequestHead(const wire::RequestHead& message)
{
    HttpRequestHead head;
    head.method = message.method();
    head.target = message.target();
    const bool valid = isToken(head.method) && isTarget(head.target) && readFields(message, head);
    if (!valid || head.framing == BodyFraming::UntilClose) {
        return std::nullopt;
    }
    return head;
}

std::optional<HttpAnswerHead> readAnswerHead(const wire::AnswerHead& message)
{
    HttpAnswerHead head;
    head.status = message.status();
    if (head.status < 200 || head.status > 999 || !readFields(message, head)) {
        return std::nullopt;
    }
    return head;
}

}
