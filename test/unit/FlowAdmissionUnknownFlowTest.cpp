#include "AdmissionFixture.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace std::chrono_literals;

// Guarantee P1 of docs/promises.md: no planned change breaks an established flow. Guards against a process with an
// outdated configuration that resets a live flow that a newer host owns.
TEST_CASE("an unknown flow is not reset while the configuration may be stale")
{
    AdmissionFixture fixture;
    const auto header = AdmissionFixture::envelope({ 1 });
    for (int second = 0; second <= 30; ++second) {
        CHECK(AdmissionFixture::drops(fixture.decide(header, fixture.later(1), std::chrono::seconds(second), 5001ms),
            AdmissionDrop::FlowUnknown));
    }
    CHECK(AdmissionFixture::drops(
        fixture.decide(AdmissionFixture::envelope({ 1 }, 6), fixture.later(1), 31s, 0ms), AdmissionDrop::FlowUnknown));
    CHECK(
        AdmissionFixture::resets(fixture.decide(header, fixture.later(1), 32s, 5000ms), AdmissionRefusal::FlowUnknown));
}

// Guards against callers that hang on a flow that no host holds, and against resets before the agent can have learned
// of a newer owner.
TEST_CASE("an unknown flow is reset after 6 s and not before")
{
    AdmissionFixture fixture;
    const auto header = AdmissionFixture::envelope({ 1 });
    CHECK(AdmissionFixture::drops(fixture.decide(header, fixture.later(1), 0s), AdmissionDrop::FlowUnknown));
    CHECK(AdmissionFixture::drops(fixture.decide(header, fixture.later(1), 5999ms), AdmissionDrop::FlowUnknown));
    CHECK(AdmissionFixture::resets(fixture.decide(header, fixture.later(1), 6s), AdmissionRefusal::FlowUnknown));
    CHECK(AdmissionFixture::drops(fixture.decide(header, fixture.later(1), 7s), AdmissionDrop::FlowUnknown));
}

// Guards against a loop of two hosts that answer each other's resets.
TEST_CASE("a reset is never answered with a reset")
{
    AdmissionFixture fixture;
    PacketView packet = fixture.later(1);
    packet.reset = true;
    const auto header = AdmissionFixture::envelope({ 1 });
    for (int second = 0; second < 20; ++second) {
        CHECK(AdmissionFixture::drops(
            fixture.decide(header, packet, std::chrono::seconds(second)), AdmissionDrop::FlowUnknown));
    }
}

// Guards against memory exhaustion by a flood of unknown flows.
TEST_CASE("the table of unknown flows is bounded and expires old entries")
{
    UnknownFlows flows(100, 60s);
    const UnknownFlows::TimePoint start {};
    const auto key = [](std::uint32_t index) { return FlowKey { { index, 1 }, { 1, 80 } }; };
    for (std::uint32_t index = 0; index < 1000; ++index) {
        flows.record(start, key(index));
    }
    CHECK(flows.size() == 100);
    CHECK(flows.record(start + 10s, key(99)) == 10s);
    CHECK(flows.record(start + 10s, key(100)) == 0s);
    CHECK(flows.record(start + 61s, key(100)) == 0s);
    CHECK(flows.record(start + 70s, key(100)) == 9s);
    CHECK(flows.size() == 1);
}
