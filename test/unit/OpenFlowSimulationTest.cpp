#include "FleetSimulation.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct OpenFlowFaults {
    std::uint64_t resets { 0 };
    std::uint64_t misrouted { 0 };
};

// Moves all flows to other balancers every 150 ms while datagrams are lost and the agents have started recently.
OpenFlowFaults runWithMovingFlows(std::uint64_t seed, double load, double lossShare, milliseconds budget)
{
    FleetSimulation::Options options;
    options.seed = seed;
    options.targetLatency = milliseconds(200);
    options.budget = budget;
    options.agentAge = milliseconds(1500);
    options.lossShare = lossShare;
    FleetSimulation simulation(options);
    const milliseconds length = seconds(3) + budget;
    simulation.load(load * simulation.capacity(), seconds(0), seconds(3));
    for (milliseconds when { 100 }; when < length; when += milliseconds(150)) {
        simulation.at(when, [&] { simulation.rotateRouters(); });
    }
    simulation.run(length);
    CHECK(simulation.shareServed(seconds(0), seconds(3)) >= 0.95);
    return { simulation.openFlowResets(), simulation.misroutedFlows() };
}

}

// Guards against FLOW (a): the answer to a first packet is lost, both ends repeat after 200 ms, and another balancer
// refuses and resets the flow while the caller accepts the repeated answer.
TEST_CASE("no open flow is reset when answers are lost and retransmissions reach another balancer")
{
    for (const std::uint64_t seed : { 1, 2, 6 }) {
        CAPTURE(seed);
        CHECK(runWithMovingFlows(seed, 0.8, 0.01, milliseconds(1500)).resets == 0);
    }
    for (const std::uint64_t seed : { 2, 3, 6 }) {
        CAPTURE(seed);
        CHECK(runWithMovingFlows(seed, 0.9, 0.02, milliseconds(1500)).resets == 0);
    }
}

// Guards against FLOW (b): searches reach the backend servers of all agents that have started recently, and the copies
// for the owner are lost.
TEST_CASE("no open flow is misrouted when searches reach agents that have started recently")
{
    for (const std::uint64_t seed : { 1, 6 }) {
        CAPTURE(seed);
        CHECK(runWithMovingFlows(seed, 0.5, 0.02, milliseconds(6000)).misrouted == 0);
        CHECK(runWithMovingFlows(seed, 0.8, 0.05, milliseconds(6000)).misrouted == 0);
    }
}
