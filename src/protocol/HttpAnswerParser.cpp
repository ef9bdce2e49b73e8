#include "protocol/HttpAnswerParser.h"

#include "protocol/HopByHopHeaders.h"

#include <algorithm>

namespace chicoryferry {

namespace {

constexpr std::size_t headLimitBytes = 64UL * 1024;
constexpr std::string_view headEnd = "\r\n\r\n";

HttpAnswerParser& parserOf(http_parser* parser) { return *static_cast<HttpAnswerParser*>(parser->data); }

}

HttpAnswerParser::HttpAnswerParser(bool answersHeadRequest, Output parsedOutput)
    : answersHead(answersHeadRequest)
    , output(std::move(parsedOutput))
{
    this->restart();
}

void HttpAnswerParser::restart()
{
    http_parser_init(&this->parser, HTTP_RESPONSE);
    this->parser.data = this;
    this->headers.clear();
    this->valueSeen = true;
    this->interim = false;
    this->headBytes = 0;
    this->headEndMatched = 0;
}

const http_parser_settings& HttpAnswerParser::settings()
{
    static const http_parser_settings callbacks = [] {
        http_parser_settings result {};
        http_parser_settings_init(&result);
        result.on_header_field = &HttpAnswerParser::onHeaderField;
        result.on_header_value = &HttpAnswerParser::onHeaderValue;
        result.on_headers_complete = &HttpAnswerParser::onHeadersComplete;
        result.on_body = &HttpAnswerParser::onBody;
        result.on_message_complete = &HttpAnswerParser::onMessageComplete;
        return result;
    }();
    return callbacks;
}

int HttpAnswerParser::onHeaderField(http_parser* parser, const char* at, std::size_t length)
{
    HttpAnswerParser& answer = parserOf(parser);
    if (answer.currentState != State::Head) {
        return 0; // a trailer field; trailers are not forwarded
    }
    if (answer.valueSeen) {
        answer.headers.emplace_back();
        answer.valueSeen = false;
    }
    answer.headers.back().first.append(at, length);
    return 0;
}

int HttpAnswerParser::onHeaderValue(http_parser* parser, const char* at, std::size_t length)
{
    HttpAnswerParser& answer = parserOf(parser);
    if (answer.currentState != State::Head || answer.headers.empty()) {
        return 0;
    }
    answer.valueSeen = true;
    answer.headers.back().second.append(at, length);
    return 0;
}

int HttpAnswerParser::onHeadersComplete(http_parser* parser)
{
    HttpAnswerParser& answer = parserOf(parser);
    if (!answer.headComplete()) {
        return -1;
    }
    return answer.answersHead ? 1 : 0;
}

int HttpAnswerParser::onBody(http_parser* parser, const char* at, std::size_t length)
{
    parserOf(parser).output.body(std::string_view(at, length));
    return 0;
}

int HttpAnswerParser::onMessageComplete(http_parser* parser)
{
    HttpAnswerParser& answer = parserOf(parser);
    if (!answer.interim) {
        answer.currentState = State::Complete;
        http_parser_pause(parser, 1);
    }
    return 0;
}

void HttpAnswerParser::fail(std::string text)
{
    this->currentState = State::Faulty;
    this->faultText = std::move(text);
}

bool HttpAnswerParser::readFraming(HttpAnswerHead& head)
{
    const auto isField = [](std::string_view name) {
        return [name](const auto& header) { return equalsIgnoringCase(header.first, name); };
    };
    const auto coding = std::find_if(this->headers.begin(), this->headers.end(), isField("transfer-encoding"));
    const auto length = std::find_if(this->headers.begin(), this->headers.end(), isField("content-length"));
    const bool hasNoBody = this->parser.status_code == 204 || this->parser.status_code == 304;
    if (coding != this->headers.end()) {
        const bool repeated
            = std::count_if(this->headers.begin(), this->headers.end(), isField("transfer-encoding")) > 1;
        if (repeated || length != this->headers.end() || !equalsIgnoringCase(coding->second, "chunked")) {
            this->fail("ambiguous or unsupported Transfer-Encoding");
            return false;
        }
        head.framing = BodyFraming::Chunked;
    } else if (length != this->headers.end()) {
        head.framing = BodyFraming::ContentLength;
        head.contentLength = this->parser.content_length;
    } else {
        head.framing = hasNoBody || this->answersHead ? BodyFraming::None : BodyFraming::UntilClose;
    }
    if (hasNoBody) {
        head.framing = BodyFraming::None;
        head.contentLength = 0;
    }
    return true;
}

bool HttpAnswerParser::headComplete()
{
    const unsigned status = this->parser.status_code;
    if (status == 101) {
        this->fail("unexpected status 101: no upgrade was requested");
        return false;
    }
    // The library accepts spaces before the colon, but proxies interpret such fields differently.
    const bool badName = std::any_of(this->headers.begin(), this->headers.end(), [](const auto& header) {
        return header.first.empty() || header.first.find_first_of(" \t") != std::string::npos;
    });
    if (badName) {
        this->fail("invalid header field name");
        return false;
    }
    if (status < 200) {
        this->interim = true;
        return true;
    }
    HttpAnswerHead head;
    head.status = status;
    if (!this->readFraming(head)) {
        return false;
    }
    for (auto& header : this->headers) {
        if (!isHopByHopHeader(header.first)) {
            head.headers.push_back(std::move(header));
        }
    }
    this->headers.clear();
    this->currentState = State::Body;
    this->output.head(std::move(head));
    return true;
}

// Returns the number of bytes up to and including the end of the head, or the number of all bytes if they do not
// contain the end. Fails at a line feed without a carriage return.
std::size_t HttpAnswerParser::findHeadEnd(std::string_view bytes)
{
    for (std::size_t index = 0; index < bytes.size(); ++index) {
        const char byte = bytes[index];
        const bool afterCarriageReturn = this->headEndMatched % 2 == 1;
        if (byte == '\n' && !afterCarriageReturn) {
            this->fail("line feed without carriage return");
            return index;
        }
        if (byte == headEnd[this->headEndMatched]) {
            ++this->headEndMatched;
        } else {
            this->headEndMatched = byte == '\r' ? 1 : 0;
        }
        if (this->headEndMatched == headEnd.size()) {
            return index + 1;
        }
    }
    return bytes.size();
}

void HttpAnswerParser::execute(std::string_view bytes)
{
    http_parser_execute(&this->parser, &HttpAnswerParser::settings(), bytes.data(), bytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&this->parser);
    const bool ended = this->currentState == State::Complete || this->currentState == State::Faulty;
    if (error != HPE_OK && !ended) {
        this->fail(http_errno_description(error));
    }
}

std::size_t HttpAnswerParser::feed(std::string_view bytes, std::size_t bodyLimit)
{
    const std::string_view allowed = bytes.substr(0, bodyLimit);
    std::string_view rest = allowed;
    while (!rest.empty() && this->currentState == State::Head) {
        const std::string_view part = rest.substr(0, this->findHeadEnd(rest));
        if (this->currentState == State::Faulty) {
            break;
        }
        this->headBytes += part.size();
        if (this->headBytes > headLimitBytes) {
            this->fail("head of the answer exceeds 64 KiB");
            break;
        }
        this->execute(part);
        rest.remove_prefix(part.size());
        if (this->currentState == State::Head && this->headEndMatched == headEnd.size()) {
            this->restart(); // the end of an interim answer
        }
    }
    if (!rest.empty() && this->currentState == State::Body) {
        this->execute(rest);
    }
    return allowed.size();
}

void HttpAnswerParser::connectionClosed()
{
    if (this->currentState != State::Head && this->currentState != State::Body) {
        return;
    }
    http_parser_execute(&this->parser, &HttpAnswerParser::settings(), nullptr, 0);
    if (this->currentState != State::Complete) {
        this->currentState = State::Truncated;
    }
}

}
