#include "EdgeFixture.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace std::chrono_literals;

// Guarantee P7 of docs/promises.md: a graceful shutdown aborts no request in flight. Guards against a shutdown that
// interrupts a request.
TEST_CASE("a request in flight is answered completely before the connection closes")
{
    EdgeFixture fixture;
    fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.edge.startDraining(fixture.now, false);
    fixture.pair.run();
    CHECK_FALSE(fixture.callerSawClose());
    fixture.answer(1, "whole");
    CHECK(fixture.received() == "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nConnection: close\r\n\r\nwhole");
    CHECK(fixture.callerSawClose());
    CHECK_FALSE(fixture.callerSawEnd());
    CHECK(fixture.edge.connectionCount() == 0);
}

// Guarantee P7 of docs/promises.md: a graceful shutdown aborts no request in flight. Guards against the loss of a
// request that was sent before the caller could know of the shutdown.
TEST_CASE("a pipelined request received before the shutdown is answered before the connection closes")
{
    EdgeFixture fixture;
    fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.edge.brokerEvent(fixture.now, AnswerStart { 1, { 200, {}, BodyFraming::ContentLength, 3 } });
    fixture.send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.edge.startDraining(fixture.now, false);
    fixture.edge.brokerEvent(fixture.now, AnswerData { 1, "one" });
    fixture.edge.brokerEvent(fixture.now, AnswerFinish { 1, true });
    REQUIRE(fixture.requests.size() == 2);
    fixture.answer(2, "two");
    CHECK(fixture.received().ends_with("Connection: close\r\n\r\ntwo"));
    CHECK(fixture.callerSawClose());
}

// Guards against a graceful shutdown that never ends because of idle connections.
TEST_CASE("idle connections are closed with FIN")
{
    EdgeFixture fixture;
    fixture.edge.startDraining(fixture.now, false);
    fixture.pair.run();
    CHECK(fixture.callerSawClose());
    CHECK_FALSE(fixture.callerSawEnd());
    fixture.pair.client.close(fixture.connection);
    fixture.pair.run();
    CHECK(fixture.pair.client.flows().empty());
}

// Guards against callers that wait for an answer from a process that has exited: requests that outlast the drain limit
// are reset.
TEST_CASE("resetBusy() cancels a request in flight and resets its connection")
{
    EdgeFixture fixture;
    fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.edge.startDraining(fixture.now, true);
    fixture.edge.resetBusy(fixture.now);
    fixture.pair.run();
    CHECK(fixture.callerSawEnd());
    CHECK(fixture.requests[0].cancelled);
}

// Guarantee P1 of docs/promises.md: no planned change breaks an established flow. Guards against a connection that is
// closed, or from which a request is read, while it awaits its handover.
TEST_CASE("idle connections stay open and unread while they await their handover")
{
    EdgeFixture fixture;
    fixture.edge.startDraining(fixture.now, true);
    fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.edge.tick(fixture.now + 60s);
    fixture.pair.run();
    CHECK(fixture.requests.empty());
    CHECK_FALSE(fixture.callerSawClose());
    CHECK(fixture.edge.idleConnections().size() == 1);
    fixture.edge.endWhenIdle(fixture.now, fixture.edge.idleConnections().front());
    REQUIRE(fixture.requests.size() == 1);
    fixture.answer(1, "one");
    CHECK(fixture.received().ends_with("Connection: close\r\n\r\none"));
    CHECK(fixture.callerSawClose());
}
