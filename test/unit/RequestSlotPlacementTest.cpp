#include "PlacementFixture.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using std::chrono::milliseconds;

// Guards against a holder that queues requests for its own busy slot while a peer has a free one.
TEST_CASE("a request that arrives while the local slots are busy runs once, on a free peer")
{
    PlacementFixture fleet(3, 1);
    fleet.deliverAll();
    fleet.arrive("host-0", 1);
    fleet.arrive("host-0", 2);
    fleet.arrive("host-0", 3);
    fleet.deliverAll();
    CHECK(fleet.runs().size() == 3);
    CHECK(fleet.runsOn("host-0") == 1);
    CHECK(fleet.runsOn("host-1") == 1);
    CHECK(fleet.runsOn("host-2") == 1);
    fleet.arrive("host-0", 4);
    fleet.deliverAll();
    CHECK(fleet.runs().size() == 3);
    fleet.endRun(1, RunOutcome::Completed);
    fleet.deliverAll();
    CHECK(fleet.runs().size() == 4);
}

// Guards against new work on a host that is about to stop, and against losing the requests it holds.
TEST_CASE("a draining host claims nothing and places its requests on peers")
{
    PlacementFixture fleet(2, 2);
    fleet.deliverAll();
    fleet.startDraining("host-0");
    fleet.deliverAll();
    fleet.arrive("host-0", 1);
    fleet.arrive("host-1", 2);
    fleet.deliverAll();
    CHECK(fleet.runsOn("host-0") == 0);
    CHECK(fleet.runsOn("host-1") == 2);
}

// Guards against a paused process that acts on an outdated grant after it resumes.
TEST_CASE("a grant that arrives after its expiry is not run and is returned to the holder")
{
    PlacementFixture fleet(2, 1);
    fleet.deliverAll();
    fleet.arrive("host-0", 1);
    fleet.arrive("host-0", 2);
    fleet.deliverUntil(wire::PeerMessage::kGrant);
    fleet.advance(milliseconds(300));
    fleet.deliverAll();
    CHECK(fleet.countSent(wire::PeerMessage::kGrantExpired) == 1);
    CHECK(fleet.runs().size() == 2);
    CHECK(fleet.refusals().empty());
}
