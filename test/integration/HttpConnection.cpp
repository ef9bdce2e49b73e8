#include "HttpConnection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <http_parser.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace chicoryferry::integration {

namespace {

constexpr std::size_t readBytes = 65536;
constexpr std::chrono::milliseconds controlTimeout { 10000 };

struct AnswerParser {
    http_parser parser {};
    HttpAnswer answer;
    std::string headerName;
    bool lastWasValue { false };
    bool withoutBody { false };
};

AnswerParser& stateOf(http_parser* parser) { return *static_cast<AnswerParser*>(parser->data); }

int headerField(http_parser* parser, const char* data, std::size_t length)
{
    AnswerParser& state = stateOf(parser);
    if (state.lastWasValue) {
        state.headerName.clear();
        state.lastWasValue = false;
    }
    std::transform(data, data + length, std::back_inserter(state.headerName),
        [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return 0;
}

int headerValue(http_parser* parser, const char* data, std::size_t length)
{
    AnswerParser& state = stateOf(parser);
    state.lastWasValue = true;
    state.answer.headers[state.headerName].append(data, length);
    return 0;
}

int headComplete(http_parser* parser)
{
    AnswerParser& state = stateOf(parser);
    state.answer.status = parser->status_code;
    return state.withoutBody ? 1 : 0;
}

int bodyPart(http_parser* parser, const char* data, std::size_t length)
{
    stateOf(parser).answer.body.append(data, length);
    return 0;
}

int messageComplete(http_parser* parser)
{
    AnswerParser& state = stateOf(parser);
    state.answer.keepAlive = http_should_keep_alive(parser) != 0;
    if (parser->status_code == 100) {
        state.answer = HttpAnswer {};
        return 0;
    }
    state.answer.complete = true;
    http_parser_pause(parser, 1);
    return 0;
}

http_parser_settings parserSettings()
{
    http_parser_settings settings {};
    settings.on_header_field = &headerField;
    settings.on_header_value = &headerValue;
    settings.on_headers_complete = &headComplete;
    settings.on_body = &bodyPart;
    settings.on_message_complete = &messageComplete;
    return settings;
}

}

HttpConnection::HttpConnection(const Endpoint& endpoint)
    : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    if (connect(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        const std::string reason = std::strerror(errno);
        close(this->descriptor);
        throw std::runtime_error("cannot connect to " + formatEndpoint(endpoint) + ": " + reason);
    }
    const int enabled = 1;
    setsockopt(this->descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

HttpConnection::~HttpConnection() { close(this->descriptor); }

HttpAnswer HttpConnection::request(const std::string& method, const std::string& target, const Headers& headers,
    const std::string& body, std::chrono::milliseconds timeout)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\nHost: test\r\n", method, target);
    for (const auto& [name, value] : headers) {
        text += fmt::format("{}: {}\r\n", name, value);
    }
    if (!body.empty() || method == "POST" || method == "PUT") {
        text += fmt::format("Content-Length: {}\r\n", body.size());
    }
    text += "\r\n" + body;
    if (!this->send(text)) {
        HttpAnswer answer;
        answer.failure = "connection closed before the request was sent";
        return answer;
    }
    return this->readAnswer(method, timeout);
}

bool HttpConnection::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (this->open && sent < bytes.size()) {
        const ssize_t count = ::send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            this->open = false;
            break;
        }
        sent += static_cast<std::size_t>(count);
    }
    return this->open;
}

HttpAnswer HttpConnection::readAnswer(const std::string& method, std::chrono::milliseconds timeout)
{
    const auto limit = std::chrono::steady_clock::now() + timeout;
    const http_parser_settings settings = parserSettings();
    AnswerParser state;
    http_parser_init(&state.parser, HTTP_RESPONSE);
    state.parser.data = &state;
    state.withoutBody = method == "HEAD";
    std::array<char, readBytes> buffer {};
    while (!state.answer.complete) {
        if (!this->unread.empty()) {
            const std::size_t used
                = http_parser_execute(&state.parser, &settings, this->unread.data(), this->unread.size());
            this->unread.erase(0, used);
            const http_errno error = HTTP_PARSER_ERRNO(&state.parser);
            if (error != HPE_OK && error != HPE_PAUSED) {
                state.answer.failure = std::string("malformed answer: ") + http_errno_description(error);
                break;
            }
            continue;
        }
        const auto left
            = std::chrono::ceil<std::chrono::milliseconds>(limit - std::chrono::steady_clock::now()).count();
        pollfd waiting { this->descriptor, POLLIN, 0 };
        if (left <= 0 || poll(&waiting, 1, static_cast<int>(left)) == 0) {
            state.answer.failure = "timeout";
            break;
        }
        const ssize_t count = recv(this->descriptor, buffer.data(), buffer.size(), 0);
        if (count < 0) {
            state.answer.failure = std::string("connection lost: ") + std::strerror(errno);
            break;
        }
        if (count == 0) {
            http_parser_execute(&state.parser, &settings, nullptr, 0);
            state.answer.failure = state.answer.complete ? "" : "connection closed before the end of the answer";
            this->open = false;
            break;
        }
        this->unread.append(buffer.data(), static_cast<std::size_t>(count));
    }
    this->open = this->open && state.answer.complete && state.answer.keepAlive;
    return state.answer;
}

void HttpConnection::reset()
{
    const linger immediate { 1, 0 };
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
    this->open = false;
}

HttpAnswer requestOnce(
    const Endpoint& endpoint, const std::string& method, const std::string& target, const std::string& body)
{
    HttpConnection connection(endpoint);
    HttpAnswer answer = connection.request(method, target, { { "Connection", "close" } }, body, controlTimeout);
    if (!answer.complete) {
        throw std::runtime_error(
            fmt::format("{} {} at {}: {}", method, target, formatEndpoint(endpoint), answer.failure));
    }
    return answer;
}

}
