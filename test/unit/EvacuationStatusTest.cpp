// What an agent concludes from the hellos of balancers that know different states of the store. Guards against EVAC by
// an agent that returns to use too early, and against one that refuses new flows until something else changes.

#include "coordination/EvacuationStatus.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EvacuationStatus::TimePoint start { std::chrono::hours(1) };
const Endpoint first { 1, 7720 };
const Endpoint second { 2, 7720 };

}

TEST_CASE("a balancer that is behind does not return an evacuated zone to use")
{
    EvacuationStatus status;
    CHECK_FALSE(status.recordHello(first, { { 0, 0 }, true, true }, start));
    CHECK(status.recordHello(first, { { 1, 50 }, true, true }, start));
    CHECK_FALSE(status.recordHello(second, { { 1, 49 }, true, false }, start));
    CHECK_FALSE(status.recordHello(second, { { 0, 90 }, true, false }, start));
    CHECK(status.isEvacuated());
    // Also when the only balancer that knew has been lost.
    CHECK_FALSE(status.recordHello(second, { { 1, 49 }, true, false }, start + seconds(10)));
    CHECK(status.isEvacuated());
    CHECK(status.recordHello(second, { { 1, 51 }, true, false }, start + seconds(11)));
}

// The request was taken back, but the store has come back from a copy that has it, or the other way round.
TEST_CASE("the end of the retention of an earlier era's request is followed at the same version of the store")
{
    EvacuationStatus status;
    CHECK(status.recordHello(first, { { 1, 50 }, false, true }, start));
    CHECK_FALSE(status.recordHello(second, { { 1, 50 }, false, false }, start));
    CHECK(status.isEvacuated());
    CHECK(status.recordHello(second, { { 1, 50 }, true, false }, start + seconds(3)));
    CHECK_FALSE(status.recordHello(first, { { 1, 50 }, false, true }, start + seconds(3)));
    CHECK_FALSE(status.isEvacuated());
    CHECK(status.recordHello(first, { { 1, 50 }, true, true }, start + seconds(4)));
}

TEST_CASE("a balancer that has missed the end of an evacuation holds the zone only until it has recovered")
{
    EvacuationStatus status;
    CHECK(status.recordHello(first, { { 1, 50 }, true, true }, start));
    CHECK_FALSE(status.recordHello(second, { { 1, 51 }, true, true }, start));
    CHECK_FALSE(status.recordHello(first, { { 1, 51 }, true, false }, start + milliseconds(100)));
    CHECK(status.isEvacuated());
    CHECK(status.recordHello(second, { { 1, 51 }, true, false }, start + seconds(1)));
    CHECK_FALSE(status.isEvacuated());
    // One that is lost before it has recovered no longer counts after 3 s.
    CHECK(status.recordHello(second, { { 1, 51 }, true, true }, start + seconds(2)));
    CHECK(status.recordHello(first, { { 1, 51 }, true, false }, start + seconds(6)));
}
