#include "PlacementFixture.h"
#include "coordination/RetryBudget.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using std::chrono::seconds;

namespace {

// Drains host-0 and submits a request there, which must start to run on host-1.
void placeOnPeer(PlacementFixture& fleet, const RequestDescription& description)
{
    fleet.deliverAll();
    fleet.startDraining("host-0");
    fleet.deliverAll();
    fleet.arrive("host-0", description);
    fleet.deliverAll();
    REQUIRE(fleet.runsOn("host-1") == 1);
}

RequestDescription nonRepeatableRequest(const PlacementFixture& fleet)
{
    RequestDescription description = fleet.describe(1);
    description.method = "POST";
    return description;
}

}

// Guarantee P4 of docs/promises.md: a request answered with outcome not-run did not run. Guards against the outcome
// not-run after a restart of the claimer, which may have run the request.
TEST_CASE("a request granted to a peer that restarts has an unknown outcome")
{
    PlacementFixture fleet(2, 1);
    placeOnPeer(fleet, nonRepeatableRequest(fleet));
    fleet.start("host-1", 2);
    fleet.deliverAll();
    REQUIRE(fleet.refusals().size() == 1);
    CHECK(fleet.refusals()[0].outcome == RunOutcome::Unknown);
    CHECK(fleet.refusals()[0].reason == "claimer_restarted");
}

// Guarantee P4 of docs/promises.md: a request answered with outcome not-run did not run. A silent claimer leads to
// unknown. Guards against the outcome not-run and against an endless wait, which would also occupy the holder's memory.
TEST_CASE("a request granted to a peer that stops answering has an unknown outcome by its deadline")
{
    PlacementFixture fleet(2, 1);
    placeOnPeer(fleet, nonRepeatableRequest(fleet));
    fleet.droppedHosts["host-1"] = true;
    fleet.advanceWithTicks(seconds(6));
    REQUIRE(fleet.refusals().size() == 1);
    CHECK(fleet.refusals()[0].outcome == RunOutcome::Unknown);
    CHECK(fleet.placement("host-0").requestsInFlight() == 0);
}

// Guards against refusing a request that another host could still run, and against running it twice.
TEST_CASE("a request that the claimer reports as not run goes to another host")
{
    PlacementFixture fleet(3, 1);
    placeOnPeer(fleet, nonRepeatableRequest(fleet));
    fleet.endRun(1, RunOutcome::NotRun);
    fleet.deliverAll();
    CHECK(fleet.refusals().empty());
    CHECK(fleet.runs().size() == 2);
    CHECK(fleet.runsOn("host-2") == 1);
}

// Guards against offers to a peer that no longer sends messages.
TEST_CASE("a silent peer gets no offers")
{
    PlacementFixture fleet(2, 1);
    fleet.deliverAll();
    fleet.droppedHosts["host-1"] = true;
    fleet.advanceWithTicks(seconds(2));
    const int before = fleet.countSent(wire::PeerMessage::kOffer);
    fleet.arrive("host-0", 1);
    fleet.arrive("host-0", 2);
    fleet.advanceWithTicks(seconds(1));
    CHECK(fleet.countSent(wire::PeerMessage::kOffer) == before);
}

// Guarantee P4 of docs/promises.md: a request answered with outcome not-run did not run. Guards against the outcome
// not-run after a retry: the first attempt may have run even if the second one never started.
TEST_CASE("a retried request that finds no slot again is refused as unknown")
{
    PlacementFixture fleet(2, 1);
    fleet.deliverAll();
    for (std::uint64_t request = 1; request <= 25; ++request) {
        fleet.arrive("host-0", request);
        fleet.deliverAll();
        fleet.endRun(request, RunOutcome::Completed);
    }
    fleet.arrive("host-0", 26);
    fleet.arrive("host-0", 27);
    fleet.arrive("host-0", 28);
    fleet.deliverAll();
    fleet.endRun(26, RunOutcome::Unknown);
    CHECK(fleet.refusals().empty());
    fleet.advanceWithTicks(seconds(6));
    bool found = false;
    for (const RefuseRequest& refusal : fleet.refusals()) {
        found = found || refusal.request == 26;
        CHECK((refusal.request != 26 || refusal.outcome == RunOutcome::Unknown));
    }
    CHECK(found);
}

// Guards against retries that multiply the load of a failing service.
TEST_CASE("retries stay within their share of the requests")
{
    RetryBudget budget(0.05, 10);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.requestArrived();
        retries += budget.takeRetry() ? 1 : 0;
    }
    CHECK(retries <= 50);
    CHECK(retries >= 48);
}
