#pragma once

#include "coordination/FlowVerdict.h"
#include "coordination/OwnerSearch.h"
#include "coordination/SearchBudget.h"
#include "coordination/SteeringAction.h"
#include "protocol/Endpoint.h"
#include "state/FlowKey.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

class FlowPlacement;
class HostDirectory;

// Finds the owners of open flows that this balancer does not know. Asks agents in stages with small messages, most
// likely owners first, while the packets of the flow wait here. The messages for a flow do not grow with the fleet,
// except for flows that no agent holds. Answers the load of balancers that stop, start or are lost with many open
// flows.
class OwnerSearches {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // linkBytesPerSecond: capacity of the balancer's link. The references must outlive this object.
    OwnerSearches(const HostDirectory&, const FlowPlacement&, double linkBytesPerSecond);

    // A packet of a caller.
    struct Packet {
        std::span<const std::uint8_t> datagram;
        bool carriesData { false };
    };

    // Keeps the packet until the owner is known, and starts a search unless one is in progress. offered: agents to
    // which this balancer has offered the flow. acknowledgement: of the packet, if it acknowledges one.
    void search(const FlowKey&, std::optional<std::uint32_t> acknowledgement, std::span<const Endpoint> offered,
        const Packet&, TimePoint now, std::vector<SteeringAction>& actions);

    // Handles an agent's answer other than that it owns the flow.
    void handleAnswer(
        const Endpoint& agent, const FlowKey&, FlowVerdict, TimePoint now, std::vector<SteeringAction>& actions);

    // Ends the search because the owner is known. Returns the packets that have waited for it.
    std::vector<std::vector<std::uint8_t>> finish(const FlowKey&);

    // Goes on with the searches whose answers are overdue.
    void tick(TimePoint now, std::vector<SteeringAction>& actions);

    // Time at which tick() has to be called next; TimePoint::max() without a search.
    TimePoint nextTick() const { return this->schedule.empty() ? TimePoint::max() : this->schedule.begin()->first; }

    std::size_t count() const { return this->searches.size(); }

private:
    struct Search {
        OwnerSearch agents;
        std::optional<std::uint32_t> acknowledgement;
        std::vector<std::vector<std::uint8_t>> waiting;
        std::size_t trialPacket { 0 }; // index of the first waiting packet with data, otherwise 0
        bool hasData { false };
        TimePoint due; // key of the flow in `schedule`
    };

    using Searches = std::unordered_map<FlowKey, Search, FlowKeyHash>;

    bool keep(Search&, const Packet&);
    void sendOnTrial(const std::vector<std::uint8_t>& packet, const std::vector<Endpoint>& agents,
        std::vector<SteeringAction>& actions);
    void ask(const FlowKey&, Search&, std::vector<Endpoint> agents, std::vector<SteeringAction>& actions);
    // Goes on while the present step of the search is complete.
    void advance(Searches::iterator, TimePoint now, std::vector<SteeringAction>& actions);
    // Sends the first waiting packet to agents whose backend server may hold the flow. Returns false if there are none.
    bool startTrials(const FlowKey&, Search&, TimePoint now, std::vector<SteeringAction>& actions);
    std::vector<Endpoint> agentsOfStage(OwnerSearch::Stage, const FlowKey&) const;
    // Ends the search without an owner. Resets the flow if no agent has it.
    void giveUp(Searches::iterator, std::string_view reason, std::vector<SteeringAction>& actions);
    void reschedule(const FlowKey&, Search&);
    void unschedule(const FlowKey&, const Search&);
    void erase(Searches::iterator);

    const HostDirectory& directory;
    const FlowPlacement& placement;
    SearchBudget budget;
    Searches searches;
    std::multimap<TimePoint, FlowKey> schedule;
    std::size_t waitingBytes { 0 };
    std::vector<std::vector<std::uint8_t>> deliveredOnTrial; // keeps those alive that the last actions refer to
};

}
