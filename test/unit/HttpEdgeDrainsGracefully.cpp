#include "EdgeFixture.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace std::chrono_literals;

// Guards promise P7: a graceful shutdown cuts no request in flight.
TEST_CASE("a request in flight gets its whole answer and then the connection closes")
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

// Guards promise P7 for a request that was sent before the caller could learn of the shutdown.
TEST_CASE("a pipelined request that has arrived is answered before the connection closes")
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
