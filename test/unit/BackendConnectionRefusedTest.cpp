#include "BackendHarness.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

// Guarantees P4 and P5 of docs/promises.md: correct not-run outcomes (P4) and at most one run per idempotency key (P5).
// Guards against a refused connection that is reported as unknown, which would prevent a retry on another host.
TEST_CASE("a request whose connection to the backend server is refused is reported as not run")
{
    EventLoop loop;
    BackendHarness harness(loop, unusedEndpoint(), std::chrono::seconds(2));
    harness.start(makeGet("/layout/1"));
    CHECK_FALSE(harness.result.has_value()); // start() must not report the result synchronously
    REQUIRE(harness.runToEnd());
    CHECK(harness.result->outcome == RunOutcome::NotRun);
    CHECK(harness.result->reason == "connection_refused");
    CHECK(harness.client.size() == 0);
}
