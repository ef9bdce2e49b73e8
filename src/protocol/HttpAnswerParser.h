#pragma once

#include "protocol/HttpHead.h"

#include <cstddef>
#include <functional>
#include <http_parser.h>
#include <string>
#include <string_view>

namespace chicoryferry {

// Incremental parser for one HTTP/1.x answer of a backend server. Interim answers (1xx) are skipped, except 101, which
// is a fault because no upgrade is ever requested. Answers with ambiguous framing are faults: different or repeated
// Content-Length, Content-Length together with Transfer-Encoding, a transfer coding other than chunked, spaces in a
// field name, line feeds without a carriage return in the head, and a head of more than 64 KiB.
class HttpAnswerParser {
public:
    enum class State {
        Head,
        Body,
        Complete, // the whole answer was received
        Truncated, // the connection was closed before the end of the answer
        Faulty, // see fault()
    };

    struct Output {
        std::function<void(HttpAnswerHead)> head;
        std::function<void(std::string_view)> body;
    };

    // answersHead: the request's method was HEAD, so the answer has no body.
    HttpAnswerParser(bool answersHead, Output);
    HttpAnswerParser(const HttpAnswerParser&) = delete;
    HttpAnswerParser& operator=(const HttpAnswerParser&) = delete;

    // Parses at most bodyLimit bytes, so that at most as many body bytes are output, and returns the number of bytes
    // consumed. The caller keeps the rest and feeds it when it has buffer space again. Bytes after the end of the
    // answer are consumed and ignored.
    std::size_t feed(std::string_view bytes, std::size_t bodyLimit);

    // To be called when the backend server has closed the connection.
    void connectionClosed();

    State state() const { return this->currentState; }
    const std::string& fault() const { return this->faultText; }

private:
    static int onHeaderField(http_parser*, const char* at, std::size_t length);
    static int onHeaderValue(http_parser*, const char* at, std::size_t length);
    static int onHeadersComplete(http_parser*);
    static int onBody(http_parser*, const char* at, std::size_t length);
    static int onMessageComplete(http_parser*);
    static const http_parser_settings& settings();

    std::size_t findHeadEnd(std::string_view bytes);
    void execute(std::string_view bytes);
    bool headComplete();
    bool readFraming(HttpAnswerHead&);
    void fail(std::string text);
    void restart();

    bool answersHead;
    Output output;
    http_parser parser {};
    State currentState { State::Head };
    std::string faultText;
    HttpHeaders headers;
    bool valueSeen { true };
    bool interim { false };
    std::size_t headBytes { 0 };
    std::size_t headEndMatched { 0 }; // number of characters of "\r\n\r\n" matched so far
};

}
