#include "protocol/HttpAnswerWriter.h"

#include <fmt/format.h>
#include <http_parser.h>
#include <iterator>

namespace chicoryferry {

namespace {

constexpr unsigned noContent = 204;
constexpr unsigned notModified = 304;

}

AnswerFraming chooseAnswerFraming(const HttpAnswerHead& head, std::string_view requestMethod, bool isVersion10)
{
    AnswerFraming framing;
    if (requestMethod == "HEAD" || head.status == noContent || head.status == notModified) {
        framing.hasBody = false;
        return framing;
    }
    switch (head.framing) {
    case BodyFraming::None:
        framing.remaining = 0;
        break;
    case BodyFraming::ContentLength:
        framing.remaining = head.contentLength;
        break;
    case BodyFraming::Chunked:
    case BodyFraming::UntilClose:
        framing.chunked = !isVersion10;
        framing.untilClose = isVersion10;
        break;
    }
    return framing;
}

std::string formatAnswerHead(const HttpAnswerHead& head, const AnswerFraming& framing, bool isVersion10, bool keepAlive)
{
    fmt::memory_buffer buffer;
    const auto output = std::back_inserter(buffer);
    fmt::format_to(output, "HTTP/1.1 {} {}\r\n", head.status, http_status_str(static_cast<http_status>(head.status)));
    for (const auto& [name, value] : head.headers) {
        fmt::format_to(output, "{}: {}\r\n", name, value);
    }
    if (framing.chunked) {
        fmt::format_to(output, "Transfer-Encoding: chunked\r\n");
    } else if (framing.remaining) {
        fmt::format_to(output, "Content-Length: {}\r\n", *framing.remaining);
    } else if (!framing.hasBody && head.framing == BodyFraming::ContentLength && head.status != noContent) {
        fmt::format_to(output, "Content-Length: {}\r\n", head.contentLength);
    }
    if (!keepAlive) {
        fmt::format_to(output, "Connection: close\r\n");
    } else if (isVersion10) {
        fmt::format_to(output, "Connection: keep-alive\r\n");
    }
    fmt::format_to(output, "\r\n");
    return fmt::to_string(buffer);
}

std::string formatAnswerData(const AnswerFraming& framing, std::string_view data)
{
    if (!framing.chunked || data.empty()) {
        return std::string(data);
    }
    return fmt::format("{:x}\r\n{}\r\n", data.size(), data);
}

std::string_view formatAnswerEnd(const AnswerFraming& framing) { return framing.chunked ? "0\r\n\r\n" : ""; }

}
