#include "PlacementFixture.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

namespace {

RequestDescription shareable(const PlacementFixture& fleet, std::uint64_t request)
{
    RequestDescription description = fleet.describe(request);
    description.target = "/layout/same";
    description.route.shareable = true;
    return description;
}

}

// Guards against a separate run for each of several identical concurrent requests, and against an answer from a run
// that started before the request arrived.
TEST_CASE("identical requests share a run that has not started, and later ones wait for the next run")
{
    PlacementFixture fleet(1, 2);
    fleet.deliverAll();
    for (std::uint64_t request = 1; request <= 4; ++request) {
        fleet.arrive("host-0", shareable(fleet, request));
    }
    REQUIRE(fleet.runs().size() == 1);
    CHECK(fleet.shares().empty());
    fleet.endRun(1, RunOutcome::Completed);
    REQUIRE(fleet.runs().size() == 2);
    CHECK(fleet.runs()[1].request == 2);
    CHECK(fleet.shares().size() == 2);
    fleet.endRun(2, RunOutcome::Completed);
    CHECK(fleet.placement("host-0").requestsInFlight() == 0);
}

// Guards against callers that lose their answer because the caller of the leading request disconnected.
TEST_CASE("the run of a shared request is cancelled only when all of its callers have disconnected")
{
    PlacementFixture fleet(1, 1);
    fleet.deliverAll();
    for (std::uint64_t request = 1; request <= 4; ++request) {
        fleet.arrive("host-0", shareable(fleet, request));
    }
    fleet.callerDisconnected("host-0", 2);
    fleet.endRun(1, RunOutcome::Completed);
    REQUIRE(fleet.runs().size() == 2);
    CHECK(fleet.runs()[1].request == 3);
    fleet.callerDisconnected("host-0", 3);
    CHECK(fleet.cancels().empty());
    fleet.callerDisconnected("host-0", 4);
    CHECK(fleet.cancels().size() == 1);
    CHECK(fleet.placement("host-0").requestsInFlight() == 0);
}
