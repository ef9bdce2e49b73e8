#pragma once

#include "coordination/FlowVerdict.h"
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

// Decides where a balancer sends each packet of a caller. It keeps a cache of flow owners; the agents hold the truth,
// and an owner that is not known is asked for at every agent of the service.
class FlowSteering {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // The references must outlive this object.
    FlowSteering(const HostDirectory&, FlowPlacement&);

    // A caller's packet arrived. The datagram holds the packet.
    void packet(
        const FlowPacket&, std::span<const std::uint8_t> datagram, TimePoint now, std::vector<SteeringAction>& actions);

    // An agent decided about a flow.
    void verdict(
        const Endpoint& agent, const FlowKey&, FlowVerdict, TimePoint now, std::vector<SteeringAction>& actions);

    // Tries new flows again that wait for the configuration or for an agent.
    void retryWaiting(TimePoint now, std::vector<SteeringAction>& actions);

    // Passes new flows on whose agent gave no verdict in time, and forgets old flows.
    void tick(TimePoint now, std::vector<SteeringAction>& actions);

    // When tick() has something to do next.
    TimePoint nextTick() const;

    std::size_t flowCount() const { return this->flows.size(); }
    std::size_t openingCount() const { return this->openings.size(); }

private:
    // A new flow that no agent has admitted yet.
    struct Opening {
        std::vector<std::uint8_t> datagram;
        std::vector<Endpoint> tried; // the last one has been asked
        TimePoint firstPacket;
        TimePoint deadline; // of the agent's verdict, or of the wait for an agent
        std::uint32_t copies { 0 }; // how often the caller has repeated the packet
        bool waiting { false }; // no agent has been asked
        // An agent gave no verdict, or its backend server no answer, in time: the flow may be open there all the same.
        bool uncertain { false };
        bool exhausted { false }; // no further agent is asked
    };

    struct Flow {
        std::vector<Endpoint> owners; // more than one while several agents admitted the flow
        std::uint64_t service { 0 }; // serviceHash(); 0: not known
        TimePoint lastPacket;
        std::uint32_t lastAcknowledgement { 0 };
        bool closing { false };
        std::optional<Opening> opening; // until an agent shows that the flow is open there
    };

    using Openings = std::unordered_map<FlowKey, Opening, FlowKeyHash>;

    void firstPacket(
        const FlowPacket&, std::span<const std::uint8_t> datagram, TimePoint now, std::vector<SteeringAction>& actions);
    void laterPacket(
        const FlowPacket&, std::span<const std::uint8_t> datagram, TimePoint now, std::vector<SteeringAction>& actions);
    // Returns whether the opening stays.
    bool place(const FlowKey&, Opening&, TimePoint now, std::vector<SteeringAction>& actions);
    void wait(Opening&, TimePoint now) const;
    // Resets the flow, unless it may be open at an agent. Returns whether the opening stays.
    bool refuse(const FlowKey&, Opening&, std::string_view reason, TimePoint now, std::vector<SteeringAction>& actions);
    void admitted(const Endpoint& agent, const FlowKey&, TimePoint now);
    void owned(const Endpoint& agent, const FlowKey&, TimePoint now);
    Flow& flowOf(const FlowKey&, TimePoint now);
    // The agent does not own the flow, or not any more.
    void notOwned(
        const Endpoint& agent, const FlowKey&, FlowVerdict, TimePoint now, std::vector<SteeringAction>& actions);
    void placeOrForget(Openings::iterator, TimePoint now, std::vector<SteeringAction>& actions);

    const HostDirectory& directory;
    FlowPlacement& placement;
    std::unordered_map<FlowKey, Flow, FlowKeyHash> flows;
    Openings openings;
    TimePoint nextSweep;
};

}
