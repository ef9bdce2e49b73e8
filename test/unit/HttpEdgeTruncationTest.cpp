#include "EdgeFixture.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

// Guarantee P3 of docs/promises.md: each caller gets the complete answer to its own request. Guards against a truncated
// answer that the caller takes for a complete one.
TEST_CASE("a truncated answer resets the connection and sends no terminating chunk")
{
    for (const BodyFraming framing : { BodyFraming::ContentLength, BodyFraming::Chunked, BodyFraming::UntilClose }) {
        for (const std::string version : { "1.0", "1.1" }) {
            EdgeFixture fixture;
            fixture.send("GET /1 HTTP/" + version + "\r\nHost: h\r\n\r\n");
            fixture.edge.brokerEvent(fixture.now, AnswerStart { 1, { 200, {}, framing, 100 } });
            fixture.edge.brokerEvent(fixture.now, AnswerData { 1, "part" });
            fixture.pair.run();
            CHECK(fixture.received().find("\r\n0\r\n\r\n") == std::string::npos);
            fixture.edge.brokerEvent(fixture.now, AnswerFinish { 1, false });
            fixture.pair.run();
            CHECK(fixture.callerSawEnd());
            CHECK_FALSE(fixture.callerSawClose());
            CHECK(fixture.metrics.drops("http edge", "answer_truncated").Value() == 1);
        }
    }
}

// Guards against an answer that is reported complete but is shorter or longer than its Content-Length.
TEST_CASE("an answer whose body does not match its Content-Length resets the connection")
{
    for (const std::string body : { "abc", "abcde" }) {
        EdgeFixture fixture;
        fixture.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
        fixture.edge.brokerEvent(fixture.now, AnswerStart { 1, { 200, {}, BodyFraming::ContentLength, 4 } });
        fixture.edge.brokerEvent(fixture.now, AnswerData { 1, body });
        fixture.edge.brokerEvent(fixture.now, AnswerFinish { 1, true });
        fixture.pair.run();
        CHECK(fixture.callerSawEnd());
    }
}
