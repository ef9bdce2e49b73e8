#include "BackendHarness.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

// Guards against unbounded buffering: the part of an answer that exceeds the credit stays at the backend server, and
// the answer still arrives complete.
TEST_CASE("an answer is read only as far as the credit allows")
{
    constexpr std::size_t bytes = 8UL * 1024 * 1024;
    constexpr std::size_t credit = 100000;
    EventLoop loop;
    ScriptedBackend backend(loop, [](ScriptedBackend::Connection& connection) {
        if (connection.hasHead() && connection.unsent() == 0) {
            connection.send(
                "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" + std::string(bytes, 'x'));
        }
    });
    BackendHarness harness(loop, backend.endpoint(), std::chrono::milliseconds(200));
    const std::uint64_t run = harness.start(makeGet("/drawing/1"), credit);
    // Longer than the silence timeout: time spent waiting for credit does not count as silence of the backend server.
    CHECK_FALSE(harness.runToEnd(std::chrono::milliseconds(400)));
    CHECK(harness.body.size() == credit);
    while (!harness.result && harness.body.size() < bytes) {
        const std::size_t before = harness.body.size();
        harness.client.addAnswerCredit(std::chrono::steady_clock::now(), run, credit);
        REQUIRE(runUntil(loop, [&] { return harness.body.size() == std::min(before + credit, bytes); }));
    }
    REQUIRE(harness.runToEnd());
    CHECK(harness.result->outcome == RunOutcome::Completed);
    CHECK(harness.body.size() == bytes);
}
