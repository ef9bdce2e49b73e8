#pragma once

#include "coordination/AgentAction.h"
#include "coordination/AgentLoad.h"
#include "protocol/FlowPacket.h"
#include "protocol/RequestMarks.h"
#include "state/HostFlows.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

// What a balancer asks of an agent for a new flow.
struct FlowOffer {
    Endpoint balancer;
    std::chrono::milliseconds waitLimit { 0 };
    std::uint32_t priority { 0 };
    FlowUrgency urgency { FlowUrgency::InTime };
    std::uint32_t slots { 0 }; // of the backend server, as it publishes them; 0: not known
};

// Decides at the agent which flows its backend server gets and when. Answers overload: the backend server never has
// more than it can begin soon, flows that can wait are held in order of priority, and the rest is refused at once, so
// that the balancer asks another agent or tells the caller.
class HostAdmission {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Read the marks of a payload; the format belongs to the ends of the flow.
    using MarkReader = std::function<RequestMarks(std::span<const std::uint8_t>)>;

    // lifetime: drawn at each start. service: serviceHash() of the service of the backend server. flowLifetime: older
    // flows need not be found again.
    HostAdmission(std::uint64_t lifetime, std::uint64_t service, MarkReader readRequest, MarkReader readAnswer,
        TimePoint startedAt, std::chrono::milliseconds flowLifetime);

    void newFlow(const FlowOffer&, std::uint64_t service, const FlowPacket&, std::span<const std::uint8_t> datagram,
        TimePoint now, std::vector<AgentAction>& actions);

    // A later packet. search: the balancer does not know the owner.
    void callerPacket(const Endpoint& balancer, std::uint64_t service, bool search, const FlowPacket&,
        std::span<const std::uint8_t> datagram, TimePoint now, std::vector<AgentAction>& actions);

    // A packet that the backend server sent or returned.
    void hostPacket(
        const FlowPacket&, std::span<const std::uint8_t> datagram, TimePoint now, std::vector<AgentAction>& actions);

    // Refuses flows that were held for too long, and forgets old ones.
    void tick(TimePoint now, std::vector<AgentAction>& actions);

    // From now on new flows are refused; those that are held go on.
    void leave() { this->leaving = true; }

    // The backend server belongs to another service from now on; flows that are held are refused.
    void setService(std::uint64_t service, std::vector<AgentAction>& actions);

    AgentLoad currentLoad(TimePoint now) const;

    // Whether the backend server has lately left first packets without an answer.
    bool isHostSilent(TimePoint now) const { return now < this->hostSilentUntil; }

    // The load with the next sequence number.
    AgentLoad load(TimePoint now);

    // Changes with the load; equal values need no new report.
    std::uint32_t occupied() const;

    // Whether tick() has something to do soon.
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

    // Flows that can be in time come first, then the lower number of the priority.
    using HeldRank = std::pair<FlowUrgency, std::uint32_t>;

    // A packet of a flow that is not in the table was delivered, because the backend server may hold the flow.
    struct TentativeDelivery {
        Endpoint balancer;
        TimePoint since;
    };

    std::uint32_t deliveryLimit(FlowUrgency) const;
    bool isOverdue(const HeldFlow&, TimePoint now) const;
    static SendVerdict refuseHeld(const HeldFlow&, TimePoint now);
    void refuseUnanswered(TimePoint now, std::vector<AgentAction>& actions);
    void deliverHeld(TimePoint now, std::vector<AgentAction>& actions);
    void returnedPacket(const FlowPacket&, TimePoint now, std::vector<AgentAction>& actions);
    void unknownFlow(const Endpoint& balancer, bool search, const FlowPacket&, std::span<const std::uint8_t> datagram,
        TimePoint now, std::vector<AgentAction>& actions);
    void answerBegins(HostFlow&, TimePoint now);
    void reportAnswer(HostFlow&, const FlowKey&, const FlowPacket&, TimePoint now, std::vector<AgentAction>& actions);
    std::uint32_t heldLate() const;
    double decayedDemand(TimePoint now) const;
    void learnWork(std::chrono::microseconds work);

    std::uint64_t lifetime;
    std::uint64_t service;
    MarkReader readRequest;
    MarkReader readAnswer;
    TimePoint startedAt;
    std::chrono::milliseconds flowLifetime;
    std::uint64_t sequence { 0 };
    std::uint32_t slots { 1 };
    std::chrono::microseconds meanWork { 0 };
    bool leaving { false };
    HostFlows flows;
    std::multimap<HeldRank, HeldFlow> held; // best first, oldest first among equals
    double demand { 0 }; // flows in time, each counted down by its age
    TimePoint demandAt;
    std::vector<HeldFlow> delivered; // keeps the datagrams of the last actions
    std::unordered_map<FlowKey, TentativeDelivery, FlowKeyHash> tentative;
    TimePoint hostSilentUntil;
    TimePoint nextSweep;
};

}
