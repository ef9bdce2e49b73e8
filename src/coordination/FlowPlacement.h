#pragma once

#include "coordination/AgentLoad.h"
#include "coordination/AgentRanking.h"
#include "coordination/LoadInterpretation.h"
#include "protocol/Endpoint.h"
#include "protocol/HostEntry.h"
#include "state/FlowKey.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace chicoryferry {

// The agent chosen for a new flow.
struct PlacementChoice {
    Endpoint agent;
    std::chrono::microseconds expectedWait { 0 }; // for a free slot
    std::chrono::milliseconds loadAge { 0 }; // age of the load report used; negative: no report was available
    std::uint32_t slots { 1 };
    std::chrono::milliseconds coldRemaining { 0 }; // how much longer the backend server is cold
};

// Chooses the agent for a new flow: of the flow's candidates, the one that is expected to have a free slot first,
// according to the agents' load reports, interpreted by their age, and the flows that this process has sent to them
// without a verdict so far. This balances uneven load and avoids placing flows behind long requests. The candidates are
// the first agents of the service in a ranking that depends on the flow only, so that another balancer knows where to
// look for it.
class FlowPlacement {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // An agent, which runs alongside one backend server, and an entry for that backend server.
    struct Agent {
        Endpoint address;
        HostEntry host;
        TimePoint learnedAt; // time at which the host's entry was read
    };

    // The entry in use for an agent that several entries name.
    struct EntrySelection {
        Endpoint agent;
        std::string host; // id of the entry in use
        std::string service;
        std::size_t entries { 0 }; // number of entries that name the agent
        bool reported { false }; // the agent reports this service; false: none of the entries' services so far
    };

    FlowPlacement(std::string availabilityZone, std::uint64_t seed);

    // Replaces the set of agents. An agent with several entries uses the first that has the service that the agent
    // reports, and the first of all until it reports one of their services. Agents that remain with the same service
    // keep their recorded state. Returns whether a report is needed: an agent or a service of one is new.
    bool setAgents(const std::vector<Agent>&, TimePoint now);

    // Names the availability zones whose agents get no new flows.
    void setEvacuatedZones(std::set<std::string, std::less<>> names) { this->evacuatedZones = std::move(names); }

    // Whether the service has agents that could take new flows if their availability zones were not evacuated, and no
    // others.
    bool isEvacuated(std::string_view service) const;

    // Records a load report. Returns false if the agent is unknown or the report is not newer than the recorded one.
    bool report(const Endpoint& agent, const AgentLoad&, TimePoint now);

    // Returns nothing if every usable agent of the service has already been tried.
    std::optional<PlacementChoice> choose(
        std::string_view service, const FlowKey&, FlowUrgency, std::span<const Endpoint> tried, TimePoint now);

    // Agents at which a balancer of this availability zone would place the flow now, and those at which it would if
    // none were draining or evacuated.
    std::vector<Endpoint> likelyOwners(std::string_view service, const FlowKey&) const;

    // Agents at which any balancer has probably placed the flow.
    std::vector<Endpoint> likelyOwnersOfEachZone(std::string_view service, const FlowKey&) const;

    // Whether the service has an agent that is not about to leave.
    bool hasUsableAgent(std::string_view service) const;

    // serviceHash() of the service that the agent's backend server serves; 0 if the agent is unknown.
    std::uint64_t serviceOf(const Endpoint& agent) const;

    // Name of that service, empty if the agent is unknown.
    std::string_view serviceNameOf(const Endpoint& agent) const;

    // How much longer the agent's backend server is cold.
    std::chrono::milliseconds coldRemaining(const Endpoint& agent, TimePoint now) const;

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

    // Returns the selections that have been made since the last call for agents with several entries.
    std::vector<EntrySelection> takeSelections() { return std::exchange(this->selections, {}); }

private:
    struct State {
        std::vector<Agent> entries; // at least one
        std::size_t selected { 0 }; // index of the entry in use
        bool draining { false }; // an entry with the service in use says that the backend server is draining
        AgentLoad load;
        TimePoint reportedAt;
        bool reported { false };
        bool silent { false };
        std::uint32_t unanswered { 0 }; // number of flows sent whose verdict is outstanding

        const HostEntry& host() const { return this->entries[this->selected].host; }
        std::chrono::milliseconds coldRemaining(TimePoint now) const;
    };

    static bool isLeaving(const State& state) { return state.draining || (state.reported && state.load.leaving); }
    bool isUsable(const State& state) const
    {
        return !isLeaving(state) && !this->evacuatedZones.contains(state.host().availabilityZone);
    }
    static bool hasEntryFor(const State&, std::string_view service);
    // Selects the entry in use. Returns whether its service has changed.
    static bool selectEntry(State&);
    void recordSelection(const Endpoint& agent, const State&);
    void indexServices();
    CandidateLoad describe(const State&, FlowUrgency, TimePoint now) const;
    // Cost that does not depend on the load.
    double fixedCost(const State&, TimePoint now);

    std::string availabilityZone;
    std::map<Endpoint, State> states;
    std::map<std::string, AgentRanking, std::less<>> byService;
    std::set<std::string, std::less<>> evacuatedZones;
    std::vector<EntrySelection> selections;
    std::minstd_rand random;
};

// Hash of a service name by which agents verify that a packet is for their service; identical in every process.
std::uint64_t serviceHash(std::string_view service);

}
