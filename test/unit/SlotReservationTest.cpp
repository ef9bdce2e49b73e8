#include "coordination/RouteStatistics.h"
#include "coordination/SlotScheduler.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const auto start = SlotScheduler::TimePoint(std::chrono::hours(1));

KnownOffer offer(std::uint64_t request, bool isLong)
{
    return { { { "holder", 1 }, request }, "job", start + seconds(isLong ? 1 : 20), milliseconds(1), isLong };
}

}

// Guards against short requests that queue while long requests occupy every slot.
TEST_CASE("the last free slot is reserved for a waiting short request")
{
    SlotScheduler scheduler({ "self", 1 });
    scheduler.setSlots(2);
    scheduler.offerReceived(start, offer(1, true));
    scheduler.offerReceived(start, offer(2, true));
    scheduler.offerReceived(start, offer(3, false));
    const std::vector<SlotClaim> claims = scheduler.claimOffers(start + milliseconds(50));
    REQUIRE(claims.size() == 2);
    CHECK(claims[0].key.request == 1);
    CHECK(claims[1].key.request == 3);
}

// Guards against a claim number that identifies two different runs, one before and one after a restart.
TEST_CASE("claim numbers of two incarnations differ")
{
    SlotScheduler first({ "self", 1 });
    SlotScheduler second({ "self", 2 });
    for (SlotScheduler* scheduler : { &first, &second }) {
        scheduler->setSlots(1);
        scheduler->offerReceived(start, offer(1, false));
    }
    const std::uint64_t claim = first.claimOffers(start).at(0).claim;
    CHECK(second.claimOffers(start).at(0).claim != claim);
    CHECK(second.grantReceived(start, { { "holder", 1 }, 1 }, claim) == GrantVerdict::Ignore);
}

// Guards against a route that is classified as long because of a few slow runs, or as short despite many slow runs.
TEST_CASE("a route is long when its mean run time exceeds 8 times the median of the service")
{
    RouteStatistics statistics;
    RequestDescription layout;
    layout.service = "job";
    layout.route.path = "/layout/";
    RequestDescription drawing = layout;
    drawing.route.path = "/drawing/";
    for (int run = 0; run < 100; ++run) {
        statistics.runCompleted(layout, milliseconds(20));
        if (run % 50 == 0) {
            statistics.runCompleted(drawing, milliseconds(2000));
        }
    }
    CHECK(!statistics.expectedRun(layout).isLong);
    CHECK(statistics.expectedRun(drawing).isLong);
    drawing.route.sizeClass = SizeClass::Short;
    CHECK(!statistics.expectedRun(drawing).isLong);
}
