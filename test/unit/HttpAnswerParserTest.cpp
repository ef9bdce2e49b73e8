#include "protocol/HttpAnswerParser.h"

#include <doctest/doctest.h>
#include <optional>
#include <rapidcheck.h>

using namespace chicoryferry;

namespace {

struct Parsed {
    HttpAnswerParser::State state { HttpAnswerParser::State::Head };
    std::optional<HttpAnswerHead> head;
    std::string body;
};

// Feeds the text in pieces of the given size, then reports the end of the connection.
Parsed parse(std::string_view text, std::size_t pieceSize = 1000000, bool answersHead = false)
{
    Parsed parsed;
    HttpAnswerParser parser(answersHead,
        { [&parsed](HttpAnswerHead head) { parsed.head = std::move(head); },
            [&parsed](std::string_view bytes) { parsed.body += bytes; } });
    while (!text.empty()) {
        text.remove_prefix(parser.feed(text, pieceSize));
    }
    parser.connectionClosed();
    parsed.state = parser.state();
    return parsed;
}

using State = HttpAnswerParser::State;

}

// Guarantee P3 of docs/promises.md: each caller gets the complete answer to its own request. Guards against a truncated
// answer that is taken as complete, which would give the caller part of the content.
TEST_CASE("an answer truncated at any byte is never complete")
{
    const std::string lengthText = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nETag: a\r\n\r\nhello";
    const std::string chunkedText
        = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\nX: y\r\n\r\n";
    for (const std::string& text : { lengthText, chunkedText }) {
        for (std::size_t length = 0; length < text.size(); ++length) {
            CHECK(parse(text.substr(0, length)).state == State::Truncated);
        }
        CHECK(parse(text).state == State::Complete);
        CHECK(parse(text).body == "hello");
    }
}

// Guards against results that depend on how the network splits the byte stream.
TEST_CASE("input pieces of any size give the same answer")
{
    const std::string text
        = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n"
          "X-A: 1\r\n\r\nhello";
    CHECK(rc::check("pieces of an answer", [&text] {
        const Parsed parsed = parse(text, *rc::gen::inRange<std::size_t>(1, text.size() + 1));
        RC_ASSERT(parsed.state == State::Complete);
        RC_ASSERT(parsed.body == "hello");
        RC_ASSERT(parsed.head->status == 200U);
        RC_ASSERT(parsed.head->headers == HttpHeaders({ { "X-A", "1" } }));
    }));
}

// Guards against a body whose end is taken from the wrong framing.
TEST_CASE("an answer without framing ends with the connection, and one to HEAD has no body")
{
    CHECK(parse("HTTP/1.1 200 OK\r\n\r\nhello").state == State::Complete);
    CHECK(parse("HTTP/1.1 200 OK\r\n\r\nhello").head->framing == BodyFraming::UntilClose);
    const Parsed head = parse("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 1000, true);
    CHECK(head.state == State::Complete);
    CHECK(head.head->contentLength == 5);
    CHECK(parse("HTTP/1.1 204 No Content\r\n\r\n").head->framing == BodyFraming::None);
}

// Guarantee P3 of docs/promises.md: each caller gets the complete answer to its own request. Guards against answers
// that two parsers could interpret differently.
TEST_CASE("ambiguous or malformed answers are rejected as faulty")
{
    for (const char* text : { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n\r\nhello!",
             "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
             "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nx", "HTTP/1.1 200 OK\nContent-Length: 0\n\n",
             "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", "garbage\r\n\r\n" }) {
        CAPTURE(text);
        CHECK(parse(text).state == State::Faulty);
    }
}
