#pragma once

#include "coordination/FirstPacketTransmissions.h"
#include "coordination/FlowVerdict.h"
#include "coordination/OwnerSearches.h"
#include "coordination/SteeringAction.h"
#include "protocol/FlowPacket.h"
#include "state/FlowKey.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

class FlowPlacement;
class HostDirectory;
struct FlowRoute;

// Decides to which agent a balancer forwards each packet of a caller. The balancer only caches the owners of flows; the
// agents are authoritative. If the owner is unknown, the packets of the flow wait while agents are asked for it.
class FlowSteering {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // linkBytesPerSecond: capacity of the balancer's link. The references must outlive this object.
    FlowSteering(const HostDirectory&, FlowPlacement&, double linkBytesPerSecond);

    // Handles a packet from a caller. The datagram contains the packet.
    void handlePacket(
        const FlowPacket&, std::span<const std::uint8_t> datagram, TimePoint now, std::vector<SteeringAction>& actions);

    // Handles an agent's verdict on a flow.
    void handleVerdict(
        const Endpoint& agent, const FlowKey&, FlowVerdict, TimePoint now, std::vector<SteeringAction>& actions);

    // Retries to place new flows that wait for the configuration or for an agent.
    void retryWaiting(TimePoint now, std::vector<SteeringAction>& actions);

    // Offers new flows to another agent if the verdict has timed out, and removes idle and closed flows.
    void tick(TimePoint now, std::vector<SteeringAction>& actions);

    // Time at which tick() has to be called next.
    TimePoint nextTick() const;

    std::size_t flowCount() const { return this->flows.size(); }
    std::size_t openingCount() const { return this->openings.size(); }

private:
    struct Offer {
        Endpoint agent;
        std::uint64_t service { 0 }; // serviceHash()
        TimePoint sentAt;
        std::optional<FlowVerdict> verdict; // the last one
        TimePoint verdictAt;
    };

    // A new flow that no agent has admitted yet.
    struct Opening {
        std::vector<std::uint8_t> datagram;
        std::vector<Endpoint> tried; // agents that were offered the flow in this round, most recent last
        std::vector<Offer> offers; // of all rounds
        FirstPacketTransmissions transmissions;
        TimePoint deadline; // for the agent's verdict or for an agent to become available
        bool waiting { false }; // for the configuration or an agent; no verdict is outstanding
        // An offer of this balancer may have opened the flow: a verdict or the backend server's answer is missing, or
        // the flow was admitted before.
        bool possiblyOpen { false };
        bool exhausted { false }; // no further agent is tried in this round of offers; it ends at the deadline
        std::uint32_t refusedRounds { 0 }; // rounds of offers that ended without a reset, because the flow may be open
    };

    struct Flow {
        std::vector<Endpoint> owners; // more than one if several agents have admitted the flow
        std::vector<Endpoint> candidates; // agents that this balancer offered the flow
        std::uint64_t service { 0 }; // serviceHash() of the owner's service
        TimePoint lastPacket;
        std::uint32_t lastAcknowledgement { 0 };
        bool opened { false }; // a packet other than the first has arrived
        bool closing { false };
        std::optional<Opening> opening; // kept until the owner is confirmed
    };

    using Flows = std::unordered_map<FlowKey, Flow, FlowKeyHash>;
    using Openings = std::unordered_map<FlowKey, Opening, FlowKeyHash>;

    // Sends a retransmission to the agent whose verdict is missing. A single packet does not add to an overload.
    void askLastAgentAgain(const FlowKey&, const Opening&, std::span<const std::uint8_t> datagram, TimePoint now,
        std::vector<SteeringAction>& actions) const;
    // Offers a flow again whose owner does not answer or is not certain.
    void reopen(Flows::iterator, const FlowPacket&, std::span<const std::uint8_t> datagram, TimePoint now,
        std::vector<SteeringAction>& actions);
    void handleFirstPacket(
        const FlowPacket&, std::span<const std::uint8_t> datagram, TimePoint now, std::vector<SteeringAction>& actions);
    void handleLaterPacket(
        const FlowPacket&, std::span<const std::uint8_t> datagram, TimePoint now, std::vector<SteeringAction>& actions);
    // Selects the service for a new flow; nothing if the route sends new flows to no service.
    std::optional<std::string> selectService(
        const FlowRoute&, const FlowKey&, const Opening&, std::vector<SteeringAction>& actions) const;
    double coldStartsPerSecond(const Endpoint& agent) const;
    // Returns whether to keep the opening.
    bool place(const FlowKey&, Opening&, TimePoint now, std::vector<SteeringAction>& actions);
    // Starts another round of offers. Returns whether to keep the opening.
    bool placeAgain(const FlowKey&, Opening&, TimePoint now, std::vector<SteeringAction>& actions);
    void waitForAgent(Opening&, TimePoint now) const;
    static OpeningHistory history(const Opening&, TimePoint now);
    static std::vector<Endpoint> agentsOffered(const Opening&);
    // Whether the last agent tried has not answered. The link to the agents may be overloaded, so that another round of
    // offers would load it even more.
    static bool isUnanswered(const Opening&);
    static void recordVerdict(Opening&, const Endpoint& agent, FlowVerdict, TimePoint now);
    // Resets the flow unless it may be open at an agent, also by an offer of another balancer. Returns whether to keep
    // the opening.
    bool refuse(const FlowKey&, Opening&, std::string_view reason, TimePoint now, std::vector<SteeringAction>& actions);
    void handleAdmitted(const Endpoint& agent, const FlowKey&, TimePoint now);
    void handleOwned(const Endpoint& agent, const FlowKey&, TimePoint now, std::vector<SteeringAction>& actions);
    // Returns the flow, which the agent has admitted or owns.
    Flow& flowOf(const FlowKey&, const Endpoint& agent, TimePoint now);
    static void markOpened(Flow&);
    // Handles a verdict by which the agent does not own the flow or no longer owns it.
    void handleNotOwned(
        const Endpoint& agent, const FlowKey&, FlowVerdict, TimePoint now, std::vector<SteeringAction>& actions);
    void placeOrErase(Openings::iterator, TimePoint now, std::vector<SteeringAction>& actions);

    const HostDirectory& directory;
    FlowPlacement& placement;
    Flows flows;
    Openings openings;
    OwnerSearches searches;
    std::vector<std::vector<std::uint8_t>> releasedPackets; // keeps those alive that the last actions refer to
    TimePoint nextSweep;
};

}
