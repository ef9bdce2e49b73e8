#include "coordination/HelloInterval.h"
#include "coordination/FlowPlacement.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using std::chrono::milliseconds;

// Guards against announcements whose rate grows with the fleet (78,000 datagrams a second at 59 balancers and 136
// agents, with the answers).
TEST_CASE("a balancer announces itself at a bounded rate up to 256 agents, and at least once a second")
{
    CHECK(agentHelloInterval(0) == milliseconds(250));
    CHECK(agentHelloInterval(64) == milliseconds(250));
    for (const std::size_t agents : { 10UL, 64UL, 136UL, 200UL, 256UL }) {
        const double perSecond
            = static_cast<double>(agents) / std::chrono::duration<double>(agentHelloInterval(agents)).count();
        CAPTURE(agents);
        CHECK(perSecond <= 257);
    }
    CHECK(agentHelloInterval(10000) == milliseconds(1000));
}

// Guards against loads that count as unknown between two announcements of a large fleet.
TEST_CASE("a load stays known until three answers are missing")
{
    for (const std::uint32_t count : { 10U, 136U, 1000U }) {
        CHECK(loadReportLifetime(count) > 3 * agentHelloInterval(count));
        FlowPlacement placement("zone", 1);
        const FlowPlacement::TimePoint start { std::chrono::hours(1) };
        std::vector<FlowPlacement::Agent> agents;
        for (std::uint32_t number = 1; number <= count; ++number) {
            const Endpoint address { number, 7000 };
            agents.push_back({ address, { std::to_string(number), "job", address, "zone", 2, false, {}, 0 }, start });
        }
        placement.setAgents(agents, start);
        AgentLoad idle;
        idle.incarnation = 1;
        idle.sequence = 1;
        const FlowKey flow { { 0x64400007, 40001 }, { 0xC6120001, 443 } };
        const Endpoint candidate = placement.choose("job", flow, FlowUrgency::InTime, {}, start)->agent;
        const std::vector<Endpoint> tried { candidate };
        const Endpoint known = placement.choose("job", flow, FlowUrgency::InTime, tried, start)->agent;
        placement.report(known, idle, start);
        // The only candidate whose load is known is chosen as long as it is known.
        const auto later = start + 3 * agentHelloInterval(count);
        CHECK(placement.choose("job", flow, FlowUrgency::InTime, {}, later)->agent == known);
    }
}
