#include "PlacementFixture.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// Completes runs of 100 ms so that the holder's statistics expect this run time.
void recordRunTimes(PlacementFixture& fleet)
{
    fleet.deliverAll();
    for (std::uint64_t request = 1; request <= 20; ++request) {
        fleet.arrive("host-0", request);
        fleet.advanceWithTicks(milliseconds(100));
        fleet.endRun(request, RunOutcome::Completed);
        fleet.deliverAll();
    }
    REQUIRE(fleet.runs().size() == 20);
}

}

// Guards against callers that are refused only after they have waited until their deadline.
TEST_CASE("a request whose expected wait exceeds its deadline is refused at once with Retry-After")
{
    PlacementFixture fleet(1, 1);
    recordRunTimes(fleet);
    for (std::uint64_t request = 100; request < 200; ++request) {
        RequestDescription description = fleet.describe(request);
        description.caller.address = static_cast<std::uint32_t>(request);
        fleet.arrive("host-0", description);
    }
    // 50 runs of 100 ms fit into the deadline of 5 s.
    REQUIRE(fleet.refusals().size() > 40);
    CHECK(fleet.refusals().size() < 70);
    CHECK(fleet.refusals()[0].reason == "expected_wait");
    CHECK(fleet.refusals()[0].outcome == RunOutcome::NotRun);
    CHECK(fleet.refusals()[0].retryAfter.count() > 0);
}

// Guards against one caller that fills the queue and blocks all others: once the queue is half full, no caller gets
// more than its share.
TEST_CASE("a caller that exceeds its share of the queue is refused, and another caller is not")
{
    PlacementFixture fleet(1, 1);
    recordRunTimes(fleet);
    std::uint64_t request = 100;
    RequestDescription other = fleet.describe(request++);
    other.caller.address = 2;
    fleet.arrive("host-0", other);
    for (; request < 200; ++request) {
        fleet.arrive("host-0", fleet.describe(request));
    }
    REQUIRE(!fleet.refusals().empty());
    CHECK(fleet.refusals()[0].reason == "caller_share");
    const std::size_t before = fleet.refusals().size();
    other = fleet.describe(request++);
    other.caller.address = 2;
    fleet.arrive("host-0", other);
    CHECK(fleet.refusals().size() == before);
}

// Guards against slots used for requests whose answers would arrive after the deadline.
TEST_CASE("a request that cannot finish before its deadline is dropped before it takes a slot")
{
    PlacementFixture fleet(1, 1);
    recordRunTimes(fleet);
    fleet.arrive("host-0", 100);
    RequestDescription urgent = fleet.describe(101);
    urgent.route.deadline = milliseconds(350);
    fleet.arrive("host-0", urgent);
    fleet.advanceWithTicks(milliseconds(300));
    REQUIRE(fleet.refusals().size() == 1);
    CHECK(fleet.refusals()[0].request == 101);
    CHECK(fleet.refusals()[0].reason == "deadline_unreachable");
    CHECK(fleet.runs().size() == 21);
}
