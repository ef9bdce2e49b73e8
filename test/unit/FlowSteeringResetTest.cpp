#include "coordination/FlowPlacement.h"
#include "coordination/FlowSteering.h"
#include "state/HostDirectory.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace chicoryferry;
using std::chrono::milliseconds;

namespace {

const FlowSteering::TimePoint start { std::chrono::hours(1) };
const Endpoint caller { 0x64400007, 40001 };
const Endpoint route { 0xC6120001, 443 };
const FlowKey flow { caller, route };
constexpr std::array<std::uint8_t, 4> bytes { 1, 2, 3, 4 };

// The flow steering of a balancer with two agents. Records the actions of the last call.
struct Balancer {
    explicit Balancer(milliseconds timeout = milliseconds(1000))
    {
        RouteTable table;
        table.version = 1;
        table.routes[route] = { "job", true, milliseconds(100), timeout, 1 };
        this->directory.apply(RouteTableWritten { table }, start);
        std::vector<FlowPlacement::Agent> agents;
        for (std::uint32_t number = 1; number <= 2; ++number) {
            const Endpoint address { number, 7000 };
            agents.push_back({ address, { std::to_string(number), "job", address, "zone", 2, false, {}, 0 }, start });
        }
        this->placement.setAgents(agents, start);
    }

    void send(bool first, std::uint32_t copies = 0)
    {
        this->actions.clear();
        FlowPacket packet;
        packet.acknowledgement = copies;
        packet.source = caller;
        packet.destination = route;
        packet.opens = first;
        packet.acknowledges = !first;
        this->steering.handlePacket(packet, bytes, start, this->actions);
    }

    Endpoint asked() const { return std::get<SteerPacket>(this->actions.back()).agent; }

    void verdict(const Endpoint& agent, FlowVerdict verdict, milliseconds after)
    {
        this->actions.clear();
        this->steering.handleVerdict(agent, flow, verdict, start + after, this->actions);
    }

    void tick(milliseconds after)
    {
        this->actions.clear();
        this->steering.tick(start + after, this->actions);
    }

    bool resets() const
    {
        return std::any_of(this->actions.begin(), this->actions.end(),
            [](const SteeringAction& action) { return std::holds_alternative<SendReset>(action); });
    }

    HostDirectory directory;
    FlowPlacement placement { "zone", 1 };
    FlowSteering steering { this->directory, this->placement };
    std::vector<SteeringAction> actions;
};

}

// Guards against a reset of an open flow: the first agent answers late and the others refuse, while the caller already
// has the first agent's answer (found in arriaga-bordado-grown, trouble-1 with seed 904154556023: FLOW).
TEST_CASE("a flow that a silent agent may have opened is not reset when the others refuse")
{
    Balancer balancer;
    balancer.send(true);
    const Endpoint silent = balancer.asked();
    balancer.tick(milliseconds(31));
    REQUIRE(balancer.actions.size() == 1);
    const Endpoint second = balancer.asked();
    CHECK(second != silent);
    balancer.verdict(second, FlowVerdict::RefusedFull, milliseconds(33));
    CHECK_FALSE(balancer.resets());
    balancer.tick(milliseconds(100));
    CHECK_FALSE(balancer.resets());
    SUBCASE("the silent agent admits it late")
    {
        balancer.verdict(silent, FlowVerdict::Admitted, milliseconds(110));
        balancer.send(false);
        CHECK(balancer.actions.size() == 2); // both may have the flow
        balancer.verdict(silent, FlowVerdict::Owned, milliseconds(112));
        balancer.send(false);
        CHECK(balancer.actions.size() == 1);
        CHECK(balancer.asked() == silent);
    }
    SUBCASE("the caller sends its next packet before the verdict of the silent agent")
    {
        balancer.send(false);
        CHECK(balancer.actions.size() == 2); // both agents are asked
        balancer.verdict(silent, FlowVerdict::Owned, milliseconds(112));
        balancer.tick(milliseconds(3000));
        CHECK_FALSE(balancer.resets());
        balancer.send(false);
        CHECK(balancer.asked() == silent);
    }
}

// Guards against a caller that waits although every agent has refused.
TEST_CASE("a flow that every agent refuses is reset immediately")
{
    Balancer balancer;
    balancer.send(true);
    balancer.verdict(balancer.asked(), FlowVerdict::RefusedFull, milliseconds(2));
    balancer.verdict(balancer.asked(), FlowVerdict::RefusedFull, milliseconds(4));
    CHECK(balancer.resets());
    CHECK(balancer.steering.openingCount() == 0);
}

// Guards against a negative wait limit, which the agent would read as a limit of weeks: it arises when the caller's
// second copy of the first packet is older than the timeout of the route.
TEST_CASE("a copy of a first packet older than the route's timeout may not wait for a slot")
{
    Balancer balancer { milliseconds(500) };
    balancer.send(true);
    balancer.verdict(balancer.asked(), FlowVerdict::Admitted, milliseconds(2));
    balancer.send(true, 2);
    REQUIRE(balancer.actions.size() == 1);
    CHECK(std::get<SteerPacket>(balancer.actions.back()).waitLimit == milliseconds(0));
}
