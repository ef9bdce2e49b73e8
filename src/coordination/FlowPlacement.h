#pragma once

#include "coordination/AgentLoad.h"
#include "protocol/Endpoint.h"
#include "protocol/HostEntry.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

// The agent chosen for a new flow.
struct PlacementChoice {
    Endpoint agent;
    std::chrono::microseconds expectedWait { 0 }; // for a slot
    std::chrono::milliseconds loadAge { 0 }; // of the report that decided; negative: there is none
    std::uint32_t slots { 1 };
};

// Chooses the agent for a new flow: the one at which a slot is expected free first, by the agents' own reports and by
// what this process sent since. Answers uneven loads and long requests: a flow goes where no request runs on the slot.
class FlowPlacement {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // An agent beside one backend server.
    struct Agent {
        Endpoint address;
        HostEntry host;
        TimePoint learnedAt; // when the host's entry was read
    };

    FlowPlacement(std::string availabilityZone, std::uint64_t seed);

    // Replaces the agents; what is known of those that stay is kept.
    void setAgents(const std::vector<Agent>&, TimePoint now);

    // Takes a report. Returns false for a report that is older than one already taken.
    bool report(const Endpoint& agent, const AgentLoad&, TimePoint now);

    // Nothing when each usable agent of the service is among those tried.
    std::optional<PlacementChoice> choose(
        const std::string& service, FlowUrgency, std::span<const Endpoint> tried, TimePoint now);

    // A flow was sent to the agent.
    void sent(const Endpoint& agent);

    // The agent gave its verdict on a flow that was sent.
    void answered(const Endpoint& agent);

    // The agent gave no verdict in time. Until its next report it is chosen only when there is no other.
    void silent(const Endpoint& agent);

    // Agents that may hold flows of the service, draining ones included.
    std::vector<Endpoint> agentsOf(const std::string& service) const;

    // All agents.
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
        std::uint32_t unanswered { 0 }; // flows sent without a verdict
    };

    double cost(const State&, FlowUrgency, TimePoint now, std::chrono::microseconds& wait);

    std::string availabilityZone;
    std::map<Endpoint, State> states;
    std::unordered_map<std::string, std::vector<Endpoint>> byService;
    std::minstd_rand random;
};

// Hash by which agents check that a packet is meant for their service; the same in every process.
std::uint64_t serviceHash(const std::string& service);

}
