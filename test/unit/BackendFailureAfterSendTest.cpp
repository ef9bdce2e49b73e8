#include "BackendHarness.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

namespace {

RunResult runAgainst(const ScriptedBackend::Script& script)
{
    EventLoop loop;
    ScriptedBackend backend(loop, script);
    BackendHarness harness(loop, backend.endpoint(), std::chrono::milliseconds(300));
    harness.start(makeGet("/layout/1"));
    REQUIRE(harness.runToEnd());
    return *harness.result;
}

}

// Guarantee P4 of docs/promises.md: a request answered with outcome not-run did not run. Guards against the outcome
// not-run for a request whose bytes were sent, since it may have run.
TEST_CASE("the outcome is unknown when the connection ends without an answer after the request was sent")
{
    const RunResult closed = runAgainst([](ScriptedBackend::Connection& connection) { connection.close(); });
    CHECK(closed.outcome == RunOutcome::Unknown);
    const RunResult reset = runAgainst([](ScriptedBackend::Connection& connection) { connection.reset(); });
    CHECK(reset.outcome == RunOutcome::Unknown);
}

// Guarantee P9 of docs/promises.md: connections that go silent permanently are detected within 40 s, and their flows
// and slots are freed. Guards against a backend server that never answers and occupies its slot forever.
TEST_CASE("a run on a silent backend server ends with an unknown outcome")
{
    const RunResult silent = runAgainst([](ScriptedBackend::Connection&) {});
    CHECK(silent.outcome == RunOutcome::Unknown);
    CHECK(silent.reason == "backend_silence");
}

// Guarantee P3 of docs/promises.md: each caller gets the complete answer to its own request. Guards against an answer
// with ambiguous framing that is taken as complete.
TEST_CASE("an answer with ambiguous framing gives an unknown outcome")
{
    const RunResult bad = runAgainst([](ScriptedBackend::Connection& connection) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc");
    });
    CHECK(bad.outcome == RunOutcome::Unknown);
    CHECK(bad.reason == "bad_answer");
}
