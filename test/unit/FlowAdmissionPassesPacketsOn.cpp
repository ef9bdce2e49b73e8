#include "AdmissionFixture.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

// Guards promise P1: packets of a flow that another candidate holds reach it.
TEST_CASE("a later packet of a flow that is not held goes to the next candidate")
{
    AdmissionFixture fixture;
    const auto decision = fixture.decide(AdmissionFixture::envelope({ 1, 2, 3 }), fixture.later(1));
    REQUIRE(std::holds_alternative<PassPacketOn>(decision));
    CHECK(std::get<PassPacketOn>(decision).destination == parseEndpoint("127.0.0.1:7002"));
    CHECK_FALSE(std::get<PassPacketOn>(decision).removeHalfOpen);
    CHECK(fixture.lastHeader.current() == 1);
}

// Guards promise P1: established flows stay with a draining host.
TEST_CASE("a draining host delivers packets of its flows and passes first packets on")
{
    AdmissionFixture fixture;
    fixture.flows.put(fixture.key, { serviceId("job"), FlowState::Open, 0 });
    fixture.admission.viewChanged(AdmissionFixture::makeView(6, "draining"));
    CHECK(std::holds_alternative<DeliverPacket>(
        fixture.decide(AdmissionFixture::envelope({ 1, 2 }, 6), fixture.later(1))));
    fixture.key.caller.port = 40001;
    CHECK(
        std::holds_alternative<PassPacketOn>(fixture.decide(AdmissionFixture::envelope({ 1, 2 }, 6), fixture.first())));
    CHECK(AdmissionFixture::resets(
        fixture.decide(AdmissionFixture::envelope({ 1 }, 6), fixture.first()), AdmissionRefusal::RefusedDraining));
}

// Guards against a host that takes more connections than it has room for.
TEST_CASE("a full host passes first packets on and refuses them at the end of the list")
{
    AdmissionFixture fixture;
    for (std::uint16_t port = 1; port <= 2; ++port) {
        CHECK(std::holds_alternative<AdmitFlow>(fixture.decide(AdmissionFixture::envelope({ 1, 2 }), fixture.first())));
        fixture.flows.put({ { fixture.key.caller.address, port }, fixture.key.service }, { 1, FlowState::Open, 0 });
    }
    CHECK(std::holds_alternative<PassPacketOn>(fixture.decide(AdmissionFixture::envelope({ 1, 2 }), fixture.first())));
    CHECK(AdmissionFixture::resets(
        fixture.decide(AdmissionFixture::envelope({ 1 }), fixture.first()), AdmissionRefusal::RefusedFull));
}

// Guards promise P1 while balancers are stale: a newer agent finds the owner that the sender did not know.
TEST_CASE("an agent with a newer configuration ranks again among hosts that were not asked")
{
    AdmissionFixture fixture;
    fixture.admission.viewChanged(AdmissionFixture::makeView(6));
    const auto decision = fixture.decide(AdmissionFixture::envelope({ 1, 2 }), fixture.later(1));
    REQUIRE(std::holds_alternative<PassPacketOn>(decision));
    auto last = AdmissionFixture::envelope({ 2, 1 });
    last.set_current(1);
    const auto ranked = fixture.decide(last, fixture.later(1));
    REQUIRE(std::holds_alternative<PassPacketOn>(ranked));
    CHECK(std::get<PassPacketOn>(ranked).destination == parseEndpoint("127.0.0.1:7003"));
    CHECK(fixture.lastHeader.configuration_version() == 6);
    CHECK(fixture.lastHeader.candidates_size() == 1);
}

// Guards against two owners of one flow after a repeated first packet was admitted twice.
TEST_CASE("a half-open flow is given up when the handshake completes elsewhere")
{
    AdmissionFixture fixture;
    fixture.flows.put(fixture.key, { serviceId("job"), FlowState::HalfOpen, 77 });
    CHECK(
        std::holds_alternative<DeliverPacket>(fixture.decide(AdmissionFixture::envelope({ 1, 2 }), fixture.later(77))));
    CHECK(std::holds_alternative<DeliverPacket>(fixture.decide(AdmissionFixture::envelope({ 1, 2 }), fixture.first())));
    const auto decision = fixture.decide(AdmissionFixture::envelope({ 1, 2 }), fixture.later(78));
    REQUIRE(std::holds_alternative<PassPacketOn>(decision));
    CHECK(std::get<PassPacketOn>(decision).removeHalfOpen);
    const auto last = fixture.decide(AdmissionFixture::envelope({ 1 }), fixture.later(78));
    REQUIRE(std::holds_alternative<DropPacket>(last));
    CHECK(std::get<DropPacket>(last).removeHalfOpen);
}
