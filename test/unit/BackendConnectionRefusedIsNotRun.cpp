#include "BackendHarness.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

// Guards P4 and P5: a refused connection reported as unknown would keep requests from being run elsewhere.
TEST_CASE("a refused connection to the backend server is not run")
{
    EventLoop loop;
    BackendHarness harness(loop, closedPort(), std::chrono::seconds(2));
    harness.start(makeGet("/layout/1"));
    CHECK_FALSE(harness.result.has_value()); // nothing is reported from inside start()
    REQUIRE(harness.runToEnd());
    CHECK(harness.result->outcome == RunOutcome::NotRun);
    CHECK(harness.result->reason == "connection_refused");
    CHECK(harness.client.size() == 0);
}
