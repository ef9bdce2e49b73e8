#pragma once

#include "coordination/AgentLoad.h"
#include "protocol/Endpoint.h"
#include "protocol/HostEntry.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryferry {

// The agent chosen for a new flow.
struct PlacementChoice {
    Endpoint agent;
    std::chrono::microseconds expectedWait { 0 }; // for a free slot
    std::chrono::milliseconds loadAge { 0 }; // age of the load report used; negative: no report was available
    std::uint32_t slots { 1 };
};

// Chooses the agent for a new flow: the one that is expected to have a free slot first, according to the agents' load
// reports and the flows that this process has sent to them without a verdict so far. This balances uneven load and
// avoids placing flows behind long requests.
class FlowPlacement {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // An agent, which runs alongside one backend server.
    struct Agent {
        Endpoint address;
        HostEntry host;
        TimePoint learnedAt; // time at which the host's entry was read
    };

    FlowPlacement(std::string availabilityZone, std::uint64_t seed);

    // Replaces the set of agents. Agents that remain with the same service keep their recorded state.
    void setAgents(const std::vector<Agent>&, TimePoint now);

    // Records a load report. Returns false if the agent is unknown or the report is not newer than the recorded one.
    bool report(const Endpoint& agent, const AgentLoad&, TimePoint now);

    // Returns nothing if every usable agent of the service has already been tried.
    std::optional<PlacementChoice> choose(
        std::string_view service, FlowUrgency, std::span<const Endpoint> tried, TimePoint now);

    // Whether the service has an agent that is not about to leave.
    bool hasUsableAgent(std::string_view service) const;

    // serviceHash() of the service that the agent's backend server serves; 0 if the agent is unknown.
    std::uint64_t serviceOf(const Endpoint& agent) const;

    // Records that a flow was sent to the agent.
    void recordFlowSent(const Endpoint& agent);

    // Records that the agent gave its verdict on a flow that was sent to it.
    void recordVerdict(const Endpoint& agent);

    // Records that the agent's verdict timed out. Until its next report the agent is only chosen if there is no other.
    void recordVerdictTimeout(const Endpoint& agent);

    // Agents that may hold flows of the service, including draining ones.
    std::vector<Endpoint> agentsOf(std::string_view service) const;

    std::vector<Endpoint> agents() const;

    bool isSilent(const Endpoint& agent) const;

private:
    struct State {
        HostEntry host;
        TimePoint learnedAt;
        AgentLoad load;
        TimePoint reportedAt;
        bool reported { false };
        bool silent { false };
        std::uint32_t unanswered { 0 }; // number of flows sent whose verdict is outstanding
    };

    static bool isUsable(const State& state) { return !state.host.draining && !(state.reported && state.load.leaving); }
    double cost(const State&, FlowUrgency, TimePoint now, std::chrono::microseconds& wait);

    std::string availabilityZone;
    std::map<Endpoint, State> states;
    std::map<std::string, std::vector<Endpoint>, std::less<>> byService;
    std::minstd_rand random;
};

// Hash of a service name by which agents verify that a packet is for their service; identical in every process.
std::uint64_t serviceHash(std::string_view service);

}
