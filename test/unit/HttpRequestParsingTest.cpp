#include "protocol/HttpRequestParser.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using State = HttpRequestParser::State;

namespace {

// Returns the reason for which the parser refuses the request, or an empty string if it accepts it.
std::string refusal(const std::string& request)
{
    HttpRequestParser parser;
    std::size_t offset = 0;
    while (offset < request.size()) {
        const std::size_t count = parser.feed(std::string_view(request).substr(offset));
        parser.takeBody(request.size());
        if (count == 0) {
            break;
        }
        offset += count;
    }
    return parser.state() == State::Failed ? parser.fault().reason : "";
}

}

// Guards against request smuggling: requests that the backend server could parse differently.
TEST_CASE("ambiguous requests are refused")
{
    const std::string start = "POST /a HTTP/1.1\r\nHost: h\r\n";
    CHECK(refusal(start + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc") == "content_length");
    CHECK(refusal(start + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc") == "content_length");
    CHECK(refusal(start + "Content-Length: 3, 3\r\n\r\nabc") == "content_length");
    CHECK(refusal(start + "Content-Length: +3\r\n\r\nabc") == "content_length");
    CHECK(refusal(start + "Content-Length: 99999999999999999999\r\n\r\nabc") == "content_length");
    CHECK(refusal(start + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n") == "length_and_encoding");
    CHECK(refusal(start + "Transfer-Encoding : chunked\r\n\r\n0\r\n\r\n") == "field_name");
    CHECK(refusal(start + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n") == "transfer_encoding");
    CHECK(refusal(start + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n") == "request_body");
    CHECK(refusal(start + "X: a\r\n b\r\n\r\n") == "line_folding");
    CHECK(refusal("GET /a HTTP/1.1\nHost: h\n\n") == "bare_line_feed");
    CHECK(refusal("GET /a HTTP/1.1\r\nHost: h\nX: y\r\n\r\n") == "bare_line_feed");
    CHECK(refusal("GET /a HTTP/1.1\r\nHost: h\rX: y\r\n\r\n") == "bare_line_feed");
    CHECK(refusal("GET  /a HTTP/1.1\r\nHost: h\r\n\r\n") == "request_line");
    CHECK(refusal("GET /a HTTP/2.0\r\nHost: h\r\n\r\n") == "http_version");
    CHECK(refusal("GET /a HTTP/1.1\r\n\r\n") == "host_field");
    CHECK(refusal("GET /a HTTP/1.1\r\nHost: h\r\nHost: h\r\n\r\n") == "host_field");
    CHECK(refusal("GET a HTTP/1.1\r\nHost: h\r\n\r\n") == "request_target");
    CHECK(refusal(std::string("GET /a HTTP/1.1\r\nHost: h\r\nX: a\0b\r\n\r\n", 36)) == "field_value");
    CHECK(refusal("GET /a HTTP/1.1\r\nHost: h\r\nExpect: more\r\n\r\n") == "expectation");
    CHECK(refusal(start + "Content-Length: 3\r\n\r\nabc").empty());
}

// Guards against memory exhaustion by a request head that never ends.
TEST_CASE("a request head above the size limit is refused")
{
    HttpRequestParser parser;
    const std::string line = "GET / HTTP/1.1\r\n";
    parser.feed(line);
    std::size_t consumed = 0;
    while (parser.state() == State::Head) {
        consumed += parser.feed("X: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n");
    }
    CHECK(parser.state() == State::Failed);
    CHECK(parser.fault().status == 431);
    CHECK(consumed <= HttpRequestParser::maximumHeadBytes);
}

// Guards against bytes that are lost or consumed twice at the boundary between two requests, for every segmentation
// of the input into pieces of equal size.
TEST_CASE("pipelined requests are parsed one at a time for input pieces of any size")
{
    const std::string first = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                              "5;x=y\r\nhello\r\n6\r\n world\r\n0\r\nT: z\r\n\r\n";
    const std::string second = "\r\nPUT http://h/b?c HTTP/1.0\r\nContent-Length: 4\r\nConnection: keep-alive, X\r\n"
                               "X: 1\r\nY:  2 \r\n\r\nbody";
    const std::string both = first + second;
    for (std::size_t size = 1; size <= both.size(); ++size) {
        HttpRequestParser parser;
        std::string bodies;
        std::size_t offset = 0;
        int requests = 0;
        while (offset < both.size() || parser.state() == State::Complete) {
            const std::size_t count = parser.feed(std::string_view(both).substr(offset, size));
            offset += count;
            bodies += parser.takeBody(3);
            REQUIRE(parser.state() != State::Failed);
            if (parser.state() == State::Complete && parser.pendingBody() == 0) {
                requests += 1;
                bodies += '|';
                if (requests == 1) {
                    CHECK(parser.head().head.framing == BodyFraming::Chunked);
                } else {
                    CHECK(parser.head().head.target == "/b?c");
                    CHECK(parser.head().keepAlive);
                    CHECK(parser.head().isVersion10);
                    CHECK(parser.head().head.headers == HttpHeaders { { "Y", "2" } });
                }
                parser.startNext();
            }
        }
        CHECK(requests == 2);
        CHECK(bodies == "hello world|body|");
    }
}

// Guards against a whole body that is buffered in memory.
TEST_CASE("the parser accepts no more input while the limit of pending body bytes is reached")
{
    HttpRequestParser parser;
    parser.feed("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n");
    const std::string body(100000, 'x');
    CHECK(parser.feed(body) == HttpRequestParser::maximumPendingBytes);
    CHECK(parser.feed(body) == 0);
    CHECK(parser.takeBody(1000).size() == 1000);
    CHECK(parser.feed(body) == 1000);
}
