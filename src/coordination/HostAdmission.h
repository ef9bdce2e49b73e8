#pragma once

#include "coordination/AgentAction.h"
#include "coordination/AgentLoad.h"
#include "coordination/ColdStartLimiter.h"
#include "coordination/FlowQuery.h"
#include "coordination/SteeringPurpose.h"
#include "protocol/FlowPacket.h"
#include "protocol/PayloadMetadata.h"
#include "state/HostFlows.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

// A balancer's request to an agent to admit a new flow.
struct FlowOffer {
    Endpoint balancer;
    std::chrono::milliseconds waitLimit { 0 };
    std::uint32_t priority { 0 };
    FlowUrgency urgency { FlowUrgency::InTime };
    std::uint32_t slots { 0 }; // number of slots that the backend server publishes; 0: unknown
    std::chrono::milliseconds coldRemaining { 0 }; // how much longer the backend server is cold
    double coldStartsPerSecond { 0 }; // first packets that it then bears; 0: no limit
};

// Admission control at the agent: decides which flows are delivered to its backend server and when. Under overload the
// backend server only receives flows that it can start soon, flows that can wait are queued by priority, and all others
// are refused immediately so that the balancer can try another agent or reject the caller.
class HostAdmission {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Extracts the metadata of a request or an answer from a payload. The payload format is defined by the endpoints of
    // the flow.
    using MetadataParser = std::function<PayloadMetadata(std::span<const std::uint8_t>)>;

    // incarnation: random number drawn at each start of the agent. service: serviceHash() of the backend server's
    // service. flowLifetime: maximum lifetime of a flow; older flows need not be recovered after a restart. An agent
    // that is certain to have seen all flows of its backend server passes a startedAt that is earlier by more than
    // that.
    HostAdmission(std::uint64_t incarnation, std::uint64_t service, MetadataParser readRequest,
        MetadataParser readAnswer, TimePoint startedAt, std::chrono::milliseconds flowLifetime);

    void handleNewFlow(const FlowOffer&, std::uint64_t service, const FlowPacket&,
        std::span<const std::uint8_t> datagram, TimePoint now, std::vector<AgentAction>& actions);

    // Handles a packet other than the first of a flow.
    void handleCallerPacket(const Endpoint& balancer, std::uint64_t service, SteeringPurpose, const FlowPacket&,
        std::span<const std::uint8_t> datagram, TimePoint now, std::vector<AgentAction>& actions);

    // Answers a balancer that looks for the owner of an open flow.
    void handleQuery(const Endpoint& balancer, const FlowQuery&, TimePoint now, std::vector<AgentAction>& actions);

    // Handles a packet that the backend server sent, or returned because it does not hold the flow.
    void handleBackendServerPacket(
        const FlowPacket&, std::span<const std::uint8_t> datagram, TimePoint now, std::vector<AgentAction>& actions);

    // Refuses queued flows whose wait limit has passed or whose backend server is silent, and removes expired flows.
    void tick(TimePoint now, std::vector<AgentAction>& actions);

    // Refuses new flows from now on; flows that are already queued are still delivered.
    void refuseNewFlows() { this->leaving = true; }

    // Whether the operator has asked to evacuate the backend server's availability zone. While it is evacuated, new
    // flows are refused, those queued included, and open flows go on.
    void setEvacuated(bool, std::vector<AgentAction>& actions);

    // Assigns the backend server to another service and refuses the queued flows.
    void setService(std::uint64_t service, std::vector<AgentAction>& actions);

    AgentLoad currentLoad(TimePoint now) const;

    // Whether the backend server has recently left a first packet unanswered.
    bool isBackendServerSilent(TimePoint now) const { return now < this->hostSilentUntil; }

    // Advances the sequence number and returns the current load.
    AgentLoad load(TimePoint now);

    // Number of flows that are opening, working or queued. While it is unchanged, no additional load report is needed.
    std::uint32_t occupied() const;

    // Whether tick() must be called frequently: flows are queued or opening.
    bool isBusy() const { return !this->held.empty() || this->flows.opening() > 0; }
    std::size_t unfinished() const { return this->flows.unfinished() + this->held.size(); }
    std::size_t flowCount() const { return this->flows.size(); }

private:
    struct HeldFlow {
        FlowKey flow;
        FlowOffer offer;
        TimePoint since;
        std::vector<std::uint8_t> datagram;
    };

    // Sort key of queued flows: flows that can meet their target latency first, then by ascending priority number.
    using HeldPriority = std::pair<FlowUrgency, std::uint32_t>;

    // A packet of an unknown flow that was delivered because the backend server may hold the flow.
    struct TentativeDelivery {
        Endpoint balancer;
        TimePoint since;
    };

    std::uint32_t deliveryLimit(FlowUrgency) const;
    bool isOverdue(const HeldFlow&, TimePoint now) const;
    static SendVerdict refuseHeld(const HeldFlow&, TimePoint now);
    // Refuses all queued flows.
    void refuseAllHeld(FlowVerdict, std::vector<AgentAction>& actions);
    void refuseUnanswered(TimePoint now, std::vector<AgentAction>& actions);
    void deliverHeld(TimePoint now, std::vector<AgentAction>& actions);
    void handleReturnedPacket(const FlowPacket&, TimePoint now, std::vector<AgentAction>& actions);
    // Takes over a flow that the backend server holds from before this agent's start.
    HostFlow& adoptFlow(const FlowKey&, const Endpoint& balancer, TimePoint now, std::vector<AgentAction>& actions);
    void handleUnknownFlow(const Endpoint& balancer, const FlowPacket&, std::span<const std::uint8_t> datagram,
        TimePoint now, std::vector<AgentAction>& actions);
    void recordAnswerStart(HostFlow&, TimePoint now);
    void reportAnswer(HostFlow&, const FlowKey&, const FlowPacket&, TimePoint now, std::vector<AgentAction>& actions);
    // Whether a caller that is opening a flow may have been answered before this agent started.
    bool mayHaveBeenAnsweredBeforeStart(TimePoint now) const;
    // Whether the backend server may hold flows from before this agent's start.
    bool mayHoldUnknownFlows(TimePoint now) const { return now - this->startedAt <= this->flowLifetime; }
    // Whether the caller's packet shows that it has accepted another backend server's answer to its first packet.
    static bool isOpenElsewhere(const HostFlow&, std::optional<std::uint32_t> acknowledgement);
    // Removes a flow that the caller has opened at another backend server.
    void abandonOpening(const FlowKey&, const HostFlow&, TimePoint now);
    // Removes a queued flow that the caller has opened at another backend server. Returns whether the flow is known not
    // to be open at this one.
    bool isKnownAbsent(const FlowKey&, TimePoint now);
    void recordReturned(const FlowKey&, TimePoint now);
    std::uint32_t heldLate() const;
    double decayedDemand(TimePoint now) const;
    void updateMeanWork(std::chrono::microseconds work);

    std::uint64_t incarnation;
    std::uint64_t service;
    MetadataParser readRequest;
    MetadataParser readAnswer;
    TimePoint startedAt;
    std::chrono::milliseconds flowLifetime;
    std::uint64_t sequence { 0 };
    std::uint32_t slots { 1 };
    std::chrono::microseconds meanWork { 0 };
    bool leaving { false };
    bool evacuated { false };
    ColdStartLimiter coldStarts;
    HostFlows flows;
    std::multimap<HeldPriority, HeldFlow> held; // in order of delivery: by priority, then by arrival
    double demand { 0 }; // number of in-time flows offered, each weighted by exponential decay
    TimePoint demandUpdatedAt;
    std::vector<HeldFlow> delivered; // keeps the datagrams alive that the last actions refer to
    std::unordered_map<FlowKey, TentativeDelivery, FlowKeyHash> tentativeDeliveries;
    // Flows that the caller has opened at another backend server, with the time of the last packet.
    std::unordered_map<FlowKey, TimePoint, FlowKeyHash> declinedFlows;
    // Flows that the backend server does not hold, since it has returned a packet, with the time of the last question.
    std::unordered_map<FlowKey, TimePoint, FlowKeyHash> returnedFlows;
    TimePoint hostSilentUntil;
    TimePoint nextSweep;
};

}
