#include "EdgeFixture.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

// Guarantee P3 of docs/promises.md: each caller gets the complete answer to its own request. Guards against answers to
// pipelined requests that are reordered or exchanged.
TEST_CASE("pipelined requests are processed one at a time and answered in order")
{
    EdgeFixture fixture;
    fixture.send(
        "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nHEAD /3 HTTP/1.1\r\nHost: h\r\n\r\n");
    REQUIRE(fixture.requests.size() == 1);
    fixture.answer(1, "one");
    REQUIRE(fixture.requests.size() == 2);
    CHECK(fixture.requests[1].head.target == "/2");
    fixture.answer(2, "two", BodyFraming::Chunked);
    REQUIRE(fixture.requests.size() == 3);
    fixture.answer(3, "");
    CHECK(fixture.received()
        == "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\ntwo\r\n0\r\n\r\n"
           "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    CHECK_FALSE(fixture.callerSawClose());
    CHECK(fixture.edge.idleConnections().size() == 1);
}

// Guards against chunked encoding sent to an HTTP/1.0 caller, which cannot decode it.
TEST_CASE("an answer of unknown length to an HTTP/1.0 caller is delimited by the close of the connection")
{
    EdgeFixture fixture;
    fixture.send("GET /1 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
    fixture.answer(1, "one", BodyFraming::Chunked);
    CHECK(fixture.received() == "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\none");
    CHECK(fixture.callerSawClose());
    CHECK_FALSE(fixture.callerSawEnd());
}

// Guards against a deadlock in which the caller waits for 100-continue and the edge waits for the body.
TEST_CASE("100-continue is sent when the broker grants credit for the body")
{
    EdgeFixture fixture;
    fixture.send("POST /1 HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\n");
    REQUIRE(fixture.requests.size() == 1);
    CHECK(fixture.received().empty());
    fixture.edge.brokerEvent(fixture.now, BodyCredit { 1, 100 });
    fixture.pair.run();
    CHECK(fixture.received() == "HTTP/1.1 100 Continue\r\n\r\n");
    fixture.send("hello");
    CHECK(fixture.requests[0].body == "hello");
    CHECK(fixture.requests[0].bodyComplete);
}

// Guarantee P4 of docs/promises.md: a request answered with outcome not-run did not run. Guards against an ambiguous
// request that reaches the broker; it is refused with the outcome not-run.
TEST_CASE("a malformed request is refused before placement and the connection closes")
{
    EdgeFixture fixture;
    fixture.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nx");
    const std::string answer = fixture.received();
    CHECK(answer.starts_with("HTTP/1.1 400 Bad Request\r\n"));
    CHECK(answer.find("Chicoryferry-Outcome: not-run\r\n") != std::string::npos);
    CHECK(answer.find("Chicoryferry-Reason: content_length\r\n") != std::string::npos);
    CHECK(fixture.requests.empty());
    CHECK(fixture.callerSawClose());
    CHECK(fixture.metrics.refusals("http edge", "content_length").Value() == 1);
}

// Guarantee P4 of docs/promises.md: a request answered with outcome not-run did not run. Guards against the outcome
// not-run for a request whose body becomes malformed after it was placed: its run may have started.
TEST_CASE("a request with a malformed body is cancelled with an unknown outcome")
{
    EdgeFixture fixture;
    fixture.send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    fixture.send("zz\r\n");
    CHECK(fixture.received().find("Chicoryferry-Outcome: unknown\r\n") != std::string::npos);
    CHECK(fixture.requests[0].cancelled);
}
