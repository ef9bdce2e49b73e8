#include "AdmissionFixture.h"
#include "coordination/FlowHandover.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace std::chrono_literals;

namespace {

struct HandoverFixture {
    HandoverFixture() { this->handover.viewChanged(AdmissionFixture::makeView(5)); }

    static const SendHandover& sentHandover(const HandoverActions& actions, std::size_t index = 0)
    {
        REQUIRE(actions.size() > index);
        REQUIRE(std::holds_alternative<SendHandover>(actions[index]));
        return std::get<SendHandover>(actions[index]);
    }

    // Returns the agent with this peer address in the view of the fixture.
    static PeerIdentity peerAt(const Endpoint& peerAddress)
    {
        const auto number = static_cast<std::uint64_t>(peerAddress.port - 8000);
        return { "a-" + std::to_string(number), number };
    }

    FlowHandover handover { "a-1" };
    FlowKey key { parseEndpoint("10.9.0.1:40000"), parseEndpoint("10.1.0.1:80") };
    FlowHandover::TimePoint start { 1000s };
};

}

// Guarantee P1 of docs/promises.md: no planned change breaks an established flow. Guards against a flow that is handed
// over to a host to which the balancers will not send its packets once the draining host has left.
TEST_CASE("a handover is first offered to the host that balancers select without the draining host")
{
    for (std::uint16_t port = 1; port <= 50; ++port) {
        HandoverFixture fixture;
        fixture.key.caller.port = port;
        PacketRouter router(AdmissionFixture::makeView(6, "draining"));
        PacketView packet;
        packet.source = fixture.key.caller;
        packet.destination = fixture.key.service;
        wire::EnvelopeHeader header;
        const auto owner = std::get<Endpoint>(router.route(packet, header));
        const auto actions = fixture.handover.offer(fixture.start, fixture.key);
        CHECK(HandoverFixture::sentHandover(actions).peerAddress.port - 8000 == owner.port - 7000);
    }
}

// Guards against a flow that is owned by two hosts or by none.
TEST_CASE("a flow is handed over only when the host to which it was offered accepts")
{
    HandoverFixture fixture;
    const SendHandover first = HandoverFixture::sentHandover(fixture.handover.offer(fixture.start, fixture.key));
    CHECK(fixture.handover.offer(fixture.start, fixture.key).empty());
    const PeerIdentity host = HandoverFixture::peerAt(first.peerAddress);
    CHECK(fixture.handover.answered(fixture.start, { "a-1", 1 }, first.handover, true).empty());
    CHECK(fixture.handover.answered(fixture.start, { host.instance, host.incarnation + 9 }, first.handover, true)
              .empty());
    CHECK(fixture.handover.answered(fixture.start, host, first.handover + 1, true).empty());
    const auto completed = fixture.handover.answered(fixture.start, host, first.handover, true);
    REQUIRE(completed.size() == 1);
    CHECK(std::holds_alternative<FlowHandedOver>(completed.front()));
    CHECK(fixture.handover.pendingCount() == 0);
}

// Guards against a flow that stays suspended because a message was lost or a host has failed.
TEST_CASE("an unanswered handover is repeated, then withdrawn and offered to the next host")
{
    HandoverFixture fixture;
    const SendHandover first = HandoverFixture::sentHandover(fixture.handover.offer(fixture.start, fixture.key));
    CHECK(fixture.handover.tick(fixture.start + 499ms).empty());
    const SendHandover repeated = HandoverFixture::sentHandover(fixture.handover.tick(fixture.start + 500ms));
    CHECK(repeated.handover == first.handover);
    const auto next = fixture.handover.tick(fixture.start + 5s);
    CHECK(HandoverFixture::sentHandover(next, 0).withdrawn);
    CHECK(HandoverFixture::sentHandover(next, 0).handover == first.handover);
    const SendHandover second = HandoverFixture::sentHandover(next, 1);
    CHECK(second.peerAddress != first.peerAddress);
    // A late answer of the first host is ignored, since the offer to it was withdrawn.
    CHECK(fixture.handover.answered(fixture.start, HandoverFixture::peerAt(first.peerAddress), first.handover, true)
              .empty());
    const auto refused
        = fixture.handover.answered(fixture.start, HandoverFixture::peerAt(second.peerAddress), second.handover, false);
    REQUIRE(refused.size() == 1);
    CHECK(std::holds_alternative<KeepFlow>(refused.front()));
    CHECK(fixture.handover.pendingCount() == 0);
}
