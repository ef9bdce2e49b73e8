#include "TestConfigurations.h"
#include "TestPackets.h"
#include "coordination/PacketRouter.h"
#include "messages.pb.h"
#include "protocol/Envelope.h"
#include "protocol/PacketView.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;

namespace {

constexpr std::uint16_t flows = 2000;
const Endpoint service { 0x0a010001, 80 };

struct Routed {
    std::vector<std::uint32_t> ports; // of the candidates, in order
};

Routed routeFlow(PacketRouter& router, std::uint16_t port)
{
    const auto bytes = makePacket({ 0x0a090101, port }, service, acknowledge);
    wire::EnvelopeHeader header;
    const auto routed = router.route(std::get<PacketView>(parsePacket(bytes)), header);
    REQUIRE(std::holds_alternative<Endpoint>(routed));
    Routed result;
    for (const wire::Candidate& candidate : header.candidates()) {
        result.ports.push_back(candidate.port());
    }
    CHECK(std::get<Endpoint>(routed).port == result.ports.front());
    return result;
}

bool contains(const Routed& routed, std::uint32_t port)
{
    return std::find(routed.ports.begin(), routed.ports.end(), port) != routed.ports.end();
}

std::vector<Host> makeHosts(unsigned first, unsigned last)
{
    std::vector<Host> hosts;
    for (unsigned number = first; number <= last; ++number) {
        hosts.push_back(makeHost("job", number));
    }
    return hosts;
}

}

// Guarantee P1 of docs/promises.md: no planned change breaks an established flow. Guards against a flow that is
// split because two balancers with the same configuration choose different candidates.
TEST_CASE("two routers with the same view choose the same candidates")
{
    const auto view = makeView(makeConfiguration(1, makeHosts(1, 7)));
    PacketRouter first(view);
    PacketRouter second(view);
    for (std::uint16_t port = 1; port < flows; ++port) {
        CHECK(routeFlow(first, port).ports == routeFlow(second, port).ports);
    }
}

// Guarantees P1 and P6 of docs/promises.md: no planned change breaks an established flow (P1), and a draining host
// starts no new work (P6). Guards against a draining host that loses its flows or gets new ones.
TEST_CASE("a draining host is never the first candidate, but stays a candidate")
{
    auto hosts = makeHosts(1, 3);
    hosts[0].state = HostState::Draining;
    PacketRouter router(makeView(makeConfiguration(2, hosts)));
    for (std::uint16_t port = 1; port < flows; ++port) {
        const Routed routed = routeFlow(router, port);
        CHECK(routed.ports.front() != 7001);
        CHECK(contains(routed, 7001));
    }
}

// Guarantee P1 of docs/promises.md: no planned change breaks an established flow. Guards against an owner that
// loses its flows because added hosts rank higher, also with far more hosts than an envelope can carry.
TEST_CASE("the owner under an earlier version stays a candidate after the service has grown")
{
    const auto before = makeConfiguration(1, makeHosts(1, 7));
    const auto after = makeConfiguration(2, makeHosts(1, 60));
    PacketRouter oldRouter(makeView(before));
    PacketRouter newRouter(makeView(after, { before }));
    for (std::uint16_t port = 1; port < flows; ++port) {
        const Routed routed = routeFlow(newRouter, port);
        CHECK(routed.ports.size() <= static_cast<std::size_t>(maximumCandidates));
        CHECK(contains(routed, routeFlow(oldRouter, port).ports.front()));
    }
}

// Guarantee P1 of docs/promises.md: no planned change breaks an established flow. Guards against flows that
// become unreachable because their host was removed from the document while it still holds them.
TEST_CASE("an owner removed from the document stays a candidate within the retention period")
{
    const auto before = makeConfiguration(1, makeHosts(1, 3));
    const auto after = makeConfiguration(2, makeHosts(2, 3));
    PacketRouter oldRouter(makeView(before));
    PacketRouter newRouter(makeView(after, { before }));
    for (std::uint16_t port = 1; port < flows; ++port) {
        CHECK(contains(routeFlow(newRouter, port), routeFlow(oldRouter, port).ports.front()));
    }
}

// Guarantee P2 of docs/promises.md: packets and requests for one service never reach another. Guards against packets
// that are forwarded although they match no service or no caller group.
TEST_CASE("a packet that matches no binding is refused with its reason")
{
    auto configuration = makeConfiguration(1, makeHosts(1, 2));
    PacketRouter router(makeView(configuration));
    wire::EnvelopeHeader header;
    const auto faultFor = [&](const Endpoint& source, const Endpoint& destination) {
        const auto bytes = makePacket(source, destination, synchronize);
        return std::get<RoutingFault>(router.route(std::get<PacketView>(parsePacket(bytes)), header));
    };
    CHECK(faultFor({ 0x0a090101, 1 }, { 0x0a010002, 80 }) == RoutingFault::NoService);
    CHECK(faultFor({ 0x0a090101, 1 }, { 0x0a010001, 81 }) == RoutingFault::NoService);
    CHECK(faultFor({ 0x0b090101, 1 }, service) == RoutingFault::NoGroup);
    PacketRouter empty(makeView(makeConfiguration(2, {})));
    const auto bytes = makePacket({ 0x0a090101, 1 }, service, synchronize);
    CHECK(
        std::get<RoutingFault>(empty.route(std::get<PacketView>(parsePacket(bytes)), header)) == RoutingFault::NoHost);
}
