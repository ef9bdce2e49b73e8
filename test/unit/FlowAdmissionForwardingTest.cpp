#include "AdmissionFixture.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

// Guarantee P1 of docs/promises.md: no planned change breaks an established flow. Guards against packets of a flow that
// do not reach the candidate that holds it.
TEST_CASE("a later packet of a flow that the host does not hold is forwarded to the next candidate")
{
    AdmissionFixture fixture;
    const auto decision = fixture.decide(AdmissionFixture::envelope({ 1, 2, 3 }), fixture.later(1));
    REQUIRE(std::holds_alternative<ForwardPacket>(decision));
    CHECK(std::get<ForwardPacket>(decision).destination == parseEndpoint("127.0.0.1:7002"));
    CHECK_FALSE(std::get<ForwardPacket>(decision).removeHalfOpen);
    CHECK(fixture.lastHeader.current() == 1);
}

// Guarantee P1 of docs/promises.md: no planned change breaks an established flow. Guards against established flows that
// do not stay with a draining host.
TEST_CASE("a draining host delivers packets of its flows and forwards first packets")
{
    AdmissionFixture fixture;
    fixture.flows.put(fixture.key, { serviceId("job"), FlowState::Open, 0 });
    fixture.admission.viewChanged(AdmissionFixture::makeView(6, "draining"));
    CHECK(std::holds_alternative<DeliverPacket>(
        fixture.decide(AdmissionFixture::envelope({ 1, 2 }, 6), fixture.later(1))));
    fixture.key.caller.port = 40001;
    CHECK(std::holds_alternative<ForwardPacket>(
        fixture.decide(AdmissionFixture::envelope({ 1, 2 }, 6), fixture.first())));
    CHECK(AdmissionFixture::resets(
        fixture.decide(AdmissionFixture::envelope({ 1 }, 6), fixture.first()), AdmissionRefusal::RefusedDraining));
}

// Guards against a host that admits more connections than its limit.
TEST_CASE("a full host forwards first packets, and refuses them as the last candidate")
{
    AdmissionFixture fixture;
    for (std::uint16_t port = 1; port <= 2; ++port) {
        CHECK(std::holds_alternative<AdmitFlow>(fixture.decide(AdmissionFixture::envelope({ 1, 2 }), fixture.first())));
        fixture.flows.put({ { fixture.key.caller.address, port }, fixture.key.service }, { 1, FlowState::Open, 0 });
    }
    CHECK(std::holds_alternative<ForwardPacket>(fixture.decide(AdmissionFixture::envelope({ 1, 2 }), fixture.first())));
    CHECK(AdmissionFixture::resets(
        fixture.decide(AdmissionFixture::envelope({ 1 }), fixture.first()), AdmissionRefusal::RefusedFull));
}

// Guarantee P1 of docs/promises.md: no planned change breaks an established flow. While the configuration of balancers
// is stale, an agent with a newer one must find the owner that the sender did not know.
TEST_CASE("an agent with a newer configuration ranks the untried hosts again")
{
    AdmissionFixture fixture;
    fixture.admission.viewChanged(AdmissionFixture::makeView(6));
    const auto decision = fixture.decide(AdmissionFixture::envelope({ 1, 2 }), fixture.later(1));
    REQUIRE(std::holds_alternative<ForwardPacket>(decision));
    auto last = AdmissionFixture::envelope({ 2, 1 });
    last.set_current(1);
    const auto ranked = fixture.decide(last, fixture.later(1));
    REQUIRE(std::holds_alternative<ForwardPacket>(ranked));
    CHECK(std::get<ForwardPacket>(ranked).destination == parseEndpoint("127.0.0.1:7003"));
    CHECK(fixture.lastHeader.configuration_version() == 6);
    CHECK(fixture.lastHeader.candidates_size() == 1);
}

// Guards against two owners of one flow after two hosts admitted copies of its first packet.
TEST_CASE("a half-open flow is removed when the handshake completes on another host")
{
    AdmissionFixture fixture;
    fixture.flows.put(fixture.key, { serviceId("job"), FlowState::HalfOpen, 77 });
    CHECK(
        std::holds_alternative<DeliverPacket>(fixture.decide(AdmissionFixture::envelope({ 1, 2 }), fixture.later(77))));
    CHECK(std::holds_alternative<DeliverPacket>(fixture.decide(AdmissionFixture::envelope({ 1, 2 }), fixture.first())));
    const auto decision = fixture.decide(AdmissionFixture::envelope({ 1, 2 }), fixture.later(78));
    REQUIRE(std::holds_alternative<ForwardPacket>(decision));
    CHECK(std::get<ForwardPacket>(decision).removeHalfOpen);
    const auto last = fixture.decide(AdmissionFixture::envelope({ 1 }), fixture.later(78));
    REQUIRE(std::holds_alternative<DropPacket>(last));
    CHECK(std::get<DropPacket>(last).removeHalfOpen);
}
