#include "BackendHarness.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

namespace {

const std::string shedHead = "HTTP/1.1 503 Busy\r\nChicoryferry-Outcome: not-run\r\nContent-Length: 4\r\n\r\n";

}

// Guarantee P4 of docs/promises.md: a request answered with outcome not-run did not run. A backend server that sheds
// load declares that the request was not run, so that another host may run it. Guards against a truncated declaration
// that is taken as valid.
TEST_CASE("a complete 503 marked not-run is reported as not run, and a truncated one as unknown")
{
    EventLoop loop;
    std::string answer = shedHead + "busy";
    ScriptedBackend backend(loop, [&answer](ScriptedBackend::Connection& connection) {
        if (connection.hasHead()) {
            connection.send(answer);
            connection.close();
        }
    });
    BackendHarness complete(loop, backend.endpoint(), std::chrono::seconds(2));
    complete.start(makeGet("/"));
    REQUIRE(complete.runToEnd());
    CHECK(complete.result->outcome == RunOutcome::NotRun);
    CHECK(complete.result->reason == "backend_shed");
    CHECK_FALSE(complete.head.has_value());

    answer = shedHead + "bu";
    BackendHarness truncated(loop, backend.endpoint(), std::chrono::seconds(2));
    truncated.start(makeGet("/"));
    REQUIRE(truncated.runToEnd());
    CHECK(truncated.result->outcome == RunOutcome::Unknown);
}

// Guarantee P4 of docs/promises.md: a request answered with outcome not-run did not run. Guards against the outcome
// not-run for a 503 without the not-run header, which may come from a backend server that ran the request.
TEST_CASE("a 503 without the not-run header is a completed answer")
{
    EventLoop loop;
    ScriptedBackend backend(loop, [](ScriptedBackend::Connection& connection) {
        connection.send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    });
    BackendHarness harness(loop, backend.endpoint(), std::chrono::seconds(2));
    harness.start(makeGet("/"));
    REQUIRE(harness.runToEnd());
    CHECK(harness.result->outcome == RunOutcome::Completed);
    CHECK(harness.result->status == 503);
}
