#include "AdmissionFixture.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

// Guards against packets from processes outside the system.
TEST_CASE("an envelope from an unlisted sender is dropped")
{
    AdmissionFixture fixture;
    fixture.balancer = parseEndpoint("127.0.0.1:6009");
    CHECK(AdmissionFixture::drops(
        fixture.decide(AdmissionFixture::envelope({ 1, 2 }), fixture.first()), AdmissionDrop::UnknownPeer));
}

// Guards against a restarted agent that accepts packets meant for its previous incarnation.
TEST_CASE("an envelope for another incarnation is dropped")
{
    AdmissionFixture fixture;
    auto header = AdmissionFixture::envelope({ 1, 2 });
    header.mutable_candidates(0)->set_incarnation(9);
    CHECK(AdmissionFixture::drops(fixture.decide(header, fixture.first()), AdmissionDrop::WrongIncarnation));
}

// Guarantee P2 of docs/promises.md: packets and requests for one service never reach another. Guards against an
// envelope whose service differs from that of the packet in it.
TEST_CASE("an envelope whose service disagrees with the inner destination is dropped")
{
    AdmissionFixture fixture;
    fixture.flows.put(fixture.key, { serviceId("job"), FlowState::Open, 0 });
    auto header = AdmissionFixture::envelope({ 1, 2 });
    header.set_service_id(serviceId("drawing"));
    CHECK(AdmissionFixture::drops(fixture.decide(header, fixture.later(1)), AdmissionDrop::WrongService));
    fixture.key.service.port = 81;
    CHECK(AdmissionFixture::drops(
        fixture.decide(AdmissionFixture::envelope({ 1 }), fixture.later(1)), AdmissionDrop::WrongService));
}

// Guarantee P2 of docs/promises.md: packets and requests for one service never reach another. Guards against a host
// that admits first packets for a service that does not select it.
TEST_CASE("a host that the service does not select forwards a first packet")
{
    AdmissionFixture fixture;
    FlowAdmission other("a-9", 1, fixture.flows);
    other.viewChanged(AdmissionFixture::makeView(5));
    auto header = AdmissionFixture::envelope({ 1, 2 });
    const auto decision
        = other.decide(fixture.start, fixture.balancer, header, fixture.first(), std::chrono::milliseconds(0));
    REQUIRE(std::holds_alternative<ForwardPacket>(decision));
    CHECK(std::get<ForwardPacket>(decision).destination == parseEndpoint("127.0.0.1:7002"));
    CHECK(header.current() == 1);
}

// Guards against a refusal based on an outdated configuration: the newer one that selects the host may not have
// arrived yet.
TEST_CASE("a first packet at the end of the list is dropped while the sender's configuration is newer")
{
    AdmissionFixture fixture;
    FlowAdmission other("a-9", 1, fixture.flows);
    other.viewChanged(AdmissionFixture::makeView(5));
    auto newer = AdmissionFixture::envelope({ 1 }, 6);
    CHECK(AdmissionFixture::drops(
        other.decide(fixture.start, fixture.balancer, newer, fixture.first(), std::chrono::milliseconds(0)),
        AdmissionDrop::NotSelected));
    auto same = AdmissionFixture::envelope({ 1 });
    CHECK(AdmissionFixture::resets(
        other.decide(fixture.start, fixture.balancer, same, fixture.first(), std::chrono::milliseconds(0)),
        AdmissionRefusal::RefusedNotSelected));
}
