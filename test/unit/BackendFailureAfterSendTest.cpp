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

// Guarantee P4: a request whose bytes were sent may have run and must not be reported as not run.
TEST_CASE("the outcome is unknown when the connection ends without an answer after the request was sent")
{
    const RunResult closed = runAgainst([](ScriptedBackend::Connection& connection) { connection.close(); });
    CHECK(closed.outcome == RunOutcome::Unknown);
    const RunResult reset = runAgainst([](ScriptedBackend::Connection& connection) { connection.reset(); });
    CHECK(reset.outcome == RunOutcome::Unknown);
}

// Guarantee P9: a backend server that never answers must not occupy its slot forever.
TEST_CASE("a run on a silent backend server ends with an unknown outcome")
{
    const RunResult silent = runAgainst([](ScriptedBackend::Connection&) {});
    CHECK(silent.outcome == RunOutcome::Unknown);
    CHECK(silent.reason == "backend_silence");
}

// Guarantee P3: an answer with ambiguous framing must not be taken as complete.
TEST_CASE("an answer with ambiguous framing gives an unknown outcome")
{
    const RunResult bad = runAgainst([](ScriptedBackend::Connection& connection) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc");
    });
    CHECK(bad.outcome == RunOutcome::Unknown);
    CHECK(bad.reason == "bad_answer");
}
