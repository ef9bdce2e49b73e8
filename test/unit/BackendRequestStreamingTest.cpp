#include "BackendHarness.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

// Guards against a request that reaches the backend server modified, or without its remaining deadline.
TEST_CASE("a chunked request body is streamed to the backend server, with the remaining deadline")
{
    EventLoop loop;
    std::string received;
    ScriptedBackend backend(loop, [&received](ScriptedBackend::Connection& connection) {
        received = connection.received;
        if (connection.received.ends_with("0\r\n\r\n")) {
            connection.send("HTTP/1.1 201 Created\r\nContent-Length: 2\r\n\r\nok");
        }
    });
    BackendHarness harness(loop, backend.endpoint(), std::chrono::seconds(2));
    HttpRequestHead head = makeGet("/corrections");
    head.method = "POST";
    head.framing = BodyFraming::Chunked;
    head.headers.emplace_back("Chicoryferry-Deadline-Ms", "999999"); // a value set by the caller must not be forwarded
    const std::uint64_t run = harness.start(head);
    harness.client.sendBody(std::chrono::steady_clock::now(), run, "nick", false);
    REQUIRE(runUntil(loop, [&] { return harness.bodyWritten == 4; }));
    harness.client.sendBody(std::chrono::steady_clock::now(), run, "bridge", true);
    REQUIRE(harness.runToEnd());
    CHECK(harness.result->outcome == RunOutcome::Completed);
    CHECK(harness.result->status == 201);
    CHECK(harness.bodyWritten == 10);
    CHECK(received
        == "POST /corrections HTTP/1.1\r\nHost: job\r\nTransfer-Encoding: chunked\r\n"
           "Chicoryferry-Deadline-Ms: 1500\r\nConnection: close\r\n\r\n4\r\nnick\r\n6\r\nbridge\r\n0\r\n\r\n");
}

// Guarantee P9 of docs/promises.md: connections that go silent permanently are detected within 40 s, and their flows
// and slots are freed. Guards against a cancellation that does not reach the backend server, which could then not stop
// the work.
TEST_CASE("cancelling closes the connection to the backend server")
{
    EventLoop loop;
    bool started = false;
    bool closed = false;
    ScriptedBackend backend(loop, [&](ScriptedBackend::Connection& connection) {
        started = true;
        closed = connection.clientClosed;
    });
    BackendHarness harness(loop, backend.endpoint(), std::chrono::seconds(2));
    const std::uint64_t run = harness.start(makeGet("/"));
    REQUIRE(runUntil(loop, [&] { return started; }));
    harness.client.cancel(run);
    CHECK(runUntil(loop, [&] { return closed; }));
    CHECK_FALSE(harness.result.has_value());
}
