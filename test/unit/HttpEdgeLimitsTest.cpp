#include "EdgeFixture.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace std::chrono_literals;

// Guards against unbounded buffering of a body that the caller sends faster than the backend server accepts it.
TEST_CASE("a request body is read only up to the granted credit")
{
    EdgeFixture fixture;
    const std::string body(500000, 'x');
    fixture.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\n");
    std::size_t sent = 0;
    std::size_t credit = 0;
    while (sent < body.size()) {
        sent += fixture.pair.client.write(fixture.connection, std::string_view(body).substr(sent));
        fixture.pair.run();
        const std::size_t before = fixture.requests[0].body.size();
        CHECK(before <= credit);
        credit += 1000;
        fixture.edge.brokerEvent(fixture.now, BodyCredit { 1, 1000 });
        fixture.pair.run();
    }
    fixture.edge.brokerEvent(fixture.now, BodyCredit { 1, body.size() });
    fixture.pair.run();
    CHECK((fixture.requests[0].body == body));
    CHECK(fixture.requests[0].bodyComplete);
}

// Guards against unbounded buffering of an answer that the caller does not read.
TEST_CASE("an answer is consumed only in part while its caller does not read")
{
    EdgeFixture fixture;
    fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.edge.brokerEvent(fixture.now, AnswerStart { 1, { 200, {}, BodyFraming::Chunked, 0 } });
    for (int piece = 0; piece < 40; ++piece) {
        fixture.edge.brokerEvent(fixture.now, AnswerData { 1, std::string(10000, 'y') });
        fixture.pair.run();
    }
    CHECK(fixture.requests[0].consumed < 3 * 65536);
    std::string all = fixture.received();
    CHECK(fixture.requests[0].consumed == 400000);
    fixture.edge.brokerEvent(fixture.now, AnswerFinish { 1, true });
    fixture.pair.run();
    all += fixture.received();
    CHECK(all.ends_with("0\r\n\r\n"));
}

// Guarantee P9 of docs/promises.md: connections that go silent permanently are detected within 40 s, and their flows
// and slots are freed. Guards against a slot that stays in use for a caller that reads nothing for 40 s.
TEST_CASE("a stalled answer, request body or request head times out")
{
    EdgeFixture answer;
    answer.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    answer.edge.brokerEvent(answer.now, AnswerStart { 1, { 200, {}, BodyFraming::Chunked, 0 } });
    answer.edge.brokerEvent(answer.now, AnswerData { 1, std::string(300000, 'y') });
    answer.pair.run();
    answer.edge.tick(answer.now + 34s);
    CHECK_FALSE(answer.requests[0].cancelled);
    answer.edge.tick(answer.now + 36s);
    CHECK(answer.requests[0].cancelled);
    CHECK(answer.metrics.drops("http edge", "answer_stalled").Value() == 1);

    EdgeFixture request;
    request.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabc");
    request.edge.brokerEvent(request.now, BodyCredit { 1, 100 });
    request.edge.tick(request.now + 36s);
    CHECK(request.requests[0].cancelled);

    EdgeFixture head;
    head.send("GET /1 HT");
    head.edge.tick(head.now + 31s);
    head.pair.run();
    CHECK(head.received().starts_with("HTTP/1.1 408"));
    CHECK(head.callerSawClose());
}

// Guards against backend work for a caller that has disconnected.
TEST_CASE("a request is cancelled when its caller closes the connection")
{
    EdgeFixture fixture;
    fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.pair.client.close(fixture.connection);
    fixture.pair.run();
    CHECK(fixture.requests[0].cancelled);
    CHECK(fixture.edge.connectionCount() == 0);
}

// Guards against backend work for a caller that has disconnected.
TEST_CASE("a request is cancelled when its caller resets the connection")
{
    EdgeFixture fixture;
    fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    fixture.pair.client.abort(fixture.connection);
    fixture.pair.run();
    CHECK(fixture.requests[0].cancelled);
    CHECK(fixture.edge.connectionCount() == 0);
    // An answer that arrives after the reset is ignored.
    fixture.answer(1, "late");
}
