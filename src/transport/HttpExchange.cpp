#include "transport/HttpExchange.h"

#include "support/InternalError.h"
#include "transport/EventLoop.h"
#include "transport/SocketAddress.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <fmt/format.h>
#include <http_parser.h>
#include <span>
#include <string_view>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicoryferry {

namespace {

constexpr std::size_t readChunkBytes = 16384;
constexpr std::size_t maximumHeaderBytes = 4096;

}

class HttpExchange::Parser {
public:
    explicit Parser(std::size_t maximumBodyBytes)
        : maximumBytes(maximumBodyBytes)
    {
        http_parser_init(&this->state, HTTP_RESPONSE);
        http_parser_settings_init(&this->callbacks);
        this->state.data = this;
        this->callbacks.on_body = [](http_parser* parser, const char* bytes, std::size_t count) {
            Parser& self = *static_cast<Parser*>(parser->data);
            if (self.body.size() + count > self.maximumBytes) {
                self.tooLarge = true;
                return 1;
            }
            self.body.append(bytes, count);
            return 0;
        };
        this->callbacks.on_header_field = [](http_parser* parser, const char* text, std::size_t count) {
            Parser& self = *static_cast<Parser*>(parser->data);
            if (self.inValue) {
                self.appendHeader("\n");
            }
            self.inValue = false;
            std::string name(text, count);
            std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
            self.appendHeader(name);
            return 0;
        };
        this->callbacks.on_header_value = [](http_parser* parser, const char* text, std::size_t count) {
            Parser& self = *static_cast<Parser*>(parser->data);
            if (!self.inValue) {
                self.appendHeader(": ");
            }
            self.inValue = true;
            self.appendHeader({ text, count });
            return 0;
        };
        this->callbacks.on_message_complete = [](http_parser* parser) {
            static_cast<Parser*>(parser->data)->complete = true;
            return 0;
        };
    }

    // Returns false when the bytes are not a valid answer. An empty span signals the end of the connection.
    bool feed(std::span<const char> bytes)
    {
        http_parser_execute(&this->state, &this->callbacks, bytes.data(), bytes.size());
        return this->complete || HTTP_PARSER_ERRNO(&this->state) == HPE_OK;
    }

    std::string errorDescription() const
    {
        if (this->tooLarge) {
            return fmt::format("body exceeds {} bytes", this->maximumBytes);
        }
        return http_errno_description(HTTP_PARSER_ERRNO(&this->state));
    }

    void appendHeader(std::string_view text)
    {
        if (this->headers.size() + text.size() <= maximumHeaderBytes) {
            this->headers += text;
        }
    }

    http_parser state {};
    http_parser_settings callbacks {};
    std::size_t maximumBytes;
    std::string headers;
    bool inValue { false }; // the last part was of a header's value
    std::string body;
    bool complete { false };
    bool tooLarge { false };
};

HttpExchange::HttpExchange(EventLoop& eventLoop, const Endpoint& endpoint, const std::string& target,
    std::size_t maximumBytes, std::function<void(Result)> resultHandler)
    : loop(eventLoop)
    , socketDescriptor(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , request(fmt::format("GET {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", target, formatEndpoint(endpoint)))
    , parser(std::make_unique<Parser>(maximumBytes))
    , onResult(std::move(resultHandler))
{
    internalAssert(this->socketDescriptor >= 0, "open TCP socket", "socket failed");
    const sockaddr_in address = toSocketAddress(endpoint);
    // Failures are reported from the event loop; an empty request marks a connect that failed at once.
    if (connect(this->socketDescriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0
        && errno != EINPROGRESS) {
        this->request.clear();
    }
    this->loop.add(this->socketDescriptor, EPOLLOUT, [this](std::uint32_t events) { this->onEvents(events); });
}

HttpExchange::~HttpExchange()
{
    if (this->socketDescriptor >= 0) {
        this->loop.remove(this->socketDescriptor);
        close(this->socketDescriptor);
    }
}

const char* HttpExchange::step() const { return this->connected ? "wait for answer" : "connect"; }

void HttpExchange::onEvents(std::uint32_t events)
{
    if (!this->connected) {
        this->finishConnect();
        return;
    }
    if ((events & (EPOLLIN | EPOLLHUP | EPOLLERR)) != 0) {
        this->receive();
    }
}

void HttpExchange::finishConnect()
{
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(this->socketDescriptor, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0 || this->request.empty()) {
        this->end({ 0, "", "", "connect", error != 0 ? std::strerror(error) : "address cannot be reached" });
        return;
    }
    this->connected = true;
    // The request is far smaller than the socket's send buffer, so one call writes all of it.
    const auto sent = send(this->socketDescriptor, this->request.data(), this->request.size(), MSG_NOSIGNAL);
    if (sent != static_cast<ssize_t>(this->request.size())) {
        this->end({ 0, "", "", "send request", "connection closed" });
        return;
    }
    this->loop.modify(this->socketDescriptor, EPOLLIN);
}

void HttpExchange::receive()
{
    std::array<char, readChunkBytes> chunk {};
    for (;;) {
        const auto count = recv(this->socketDescriptor, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
            return;
        }
        const int error = errno;
        if (count < 0) {
            this->end({ 0, "", "", "read answer", std::strerror(error) });
            return;
        }
        if (!this->parser->feed({ chunk.data(), static_cast<std::size_t>(count) })) {
            this->end({ 0, "", "", "read answer", this->parser->errorDescription(), this->parser->tooLarge });
            return;
        }
        if (this->parser->complete) {
            this->end({ static_cast<int>(this->parser->state.status_code), std::move(this->parser->headers),
                std::move(this->parser->body), "", "" });
            return;
        }
        if (count == 0) {
            this->end({ 0, "", "", "read answer", "answer is truncated" });
            return;
        }
    }
}

void HttpExchange::end(Result result)
{
    this->loop.remove(this->socketDescriptor);
    close(this->socketDescriptor);
    this->socketDescriptor = -1;
    // The handler may destroy this object.
    const auto handler = std::move(this->onResult);
    handler(std::move(result));
}

}
