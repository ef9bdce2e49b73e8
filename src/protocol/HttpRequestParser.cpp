#include "protocol/HttpRequestParser.h"

#include <algorithm>
#include <http_parser.h>

namespace chicoryferry {

namespace {

constexpr unsigned badRequest = 400;
constexpr unsigned headTooLarge = 431;

constexpr std::string_view headEnd = "\r\n\r\n";

}

// Wrapper of libhttp-parser, which decodes the body of one request.
class HttpRequestParser::Parser {
public:
    explicit Parser(std::string& bodyText)
        : body(bodyText)
    {
        this->restart();
    }

    void restart()
    {
        http_parser_init(&this->parser, HTTP_REQUEST);
        this->parser.data = this;
        this->messageComplete = false;
    }

    std::size_t execute(std::string_view data)
    {
        return http_parser_execute(&this->parser, &settings(), data.data(), data.size());
    }

    // HPE_PAUSED is not a failure: the parser is paused at the end of a request so that it does not parse the next one.
    bool failed() const
    {
        const auto error = HTTP_PARSER_ERRNO(&this->parser);
        return error != HPE_OK && error != HPE_PAUSED;
    }

    bool complete() const { return this->messageComplete; }

private:
    static const http_parser_settings& settings()
    {
        static const http_parser_settings instance = [] {
            http_parser_settings result {};
            http_parser_settings_init(&result);
            result.on_body = [](http_parser* parser, const char* data, std::size_t length) {
                static_cast<Parser*>(parser->data)->body.append(data, length);
                return 0;
            };
            result.on_message_complete = [](http_parser* parser) {
                static_cast<Parser*>(parser->data)->messageComplete = true;
                http_parser_pause(parser, 1);
                return 0;
            };
            return result;
        }();
        return instance;
    }

    http_parser parser {};
    std::string& body;
    bool messageComplete { false };
};

HttpRequestParser::HttpRequestParser() = default;
HttpRequestParser::~HttpRequestParser() = default;

std::size_t HttpRequestParser::feed(std::string_view data)
{
    switch (this->current) {
    case State::Head:
        return this->feedHead(data);
    case State::Body:
        return this->feedBody(data);
    default:
        return 0;
    }
}

std::size_t HttpRequestParser::feedHead(std::string_view data)
{
    std::size_t skipped = 0;
    if (this->headText == "\r" && data.starts_with('\n')) {
        this->headText.clear();
        skipped = 1;
    }
    // A server ignores empty lines before a request line (RFC 9112, section 2.2).
    while (this->headText.empty() && data.substr(skipped).starts_with("\r\n")) {
        skipped += 2;
    }
    data.remove_prefix(skipped);
    const std::size_t before = this->headText.size();
    const std::size_t room = maximumHeadBytes - before;
    this->headText.append(data.substr(0, room));
    const std::size_t searchFrom = before < headEnd.size() ? 0 : before - headEnd.size();
    const std::size_t end = this->headText.find(headEnd, searchFrom);
    if (end == std::string::npos) {
        // With bare line feeds as line endings, the end of the head would never be found.
        for (std::size_t index = this->headText.find('\n', before); index != std::string::npos;
             index = this->headText.find('\n', index + 1)) {
            if (index == 0 || this->headText[index - 1] != '\r') {
                this->fail({ badRequest, "bare_line_feed" });
                return skipped + std::min(room, data.size());
            }
        }
        if (this->headText.size() == maximumHeadBytes) {
            this->fail({ headTooLarge, "head_too_large" });
        }
        return skipped + std::min(room, data.size());
    }
    this->headText.resize(end + headEnd.size());
    this->finishHead();
    return skipped + this->headText.size() - before;
}

void HttpRequestParser::finishHead()
{
    auto result = readHttpRequestHead(this->headText);
    if (const auto* fault = std::get_if<HttpFault>(&result)) {
        this->fail(*fault);
        return;
    }
    this->requestHead = std::move(std::get<ParsedRequestHead>(result));
    if (!this->parser) {
        this->parser = std::make_unique<Parser>(this->pending);
    }
    this->parser->restart();
    this->parser->execute(this->headText);
    if (this->parser->failed()) {
        this->fail({ badRequest, "request_syntax" });
        return;
    }
    this->current = this->parser->complete() ? State::Complete : State::Body;
}

std::size_t HttpRequestParser::feedBody(std::string_view data)
{
    // libhttp-parser interprets empty input as the end of the connection.
    if (data.empty() || this->pending.size() >= maximumPendingBytes) {
        return 0;
    }
    // A decoded body is never longer than its encoding, so this many bytes fit.
    const std::string_view part = data.substr(0, maximumPendingBytes - this->pending.size());
    const std::size_t count = this->parser->execute(part);
    if (this->parser->failed()) {
        this->fail({ badRequest, "request_body" });
        return count;
    }
    if (this->parser->complete()) {
        this->current = State::Complete;
    }
    return count;
}

std::string HttpRequestParser::takeBody(std::size_t maximum)
{
    if (maximum >= this->pending.size()) {
        std::string all = std::move(this->pending);
        this->pending.clear();
        return all;
    }
    std::string part = this->pending.substr(0, maximum);
    this->pending.erase(0, maximum);
    return part;
}

void HttpRequestParser::startNext()
{
    this->current = State::Head;
    this->headText.clear();
    this->headText.shrink_to_fit();
    this->requestHead = {};
    this->pending.clear();
}

void HttpRequestParser::fail(HttpFault reason)
{
    this->requestFault = std::move(reason);
    this->current = State::Failed;
}

}
