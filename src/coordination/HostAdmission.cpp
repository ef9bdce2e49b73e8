#include "coordination/HostAdmission.h"

#include <algorithm>
#include <cmath>

namespace chicoryferry {

namespace {

// A slot is idle between an answer and the next request unless flows are opened ahead: the handshake takes up to 8 ms
// against 13 ms of work. The backend server queues 8.
constexpr std::uint32_t openedAheadPerSlot = 1;

// Weight of one request in the mean; the mean follows a change within some ten requests.
constexpr int meanWeight = 16;

// A request that has run for this many times the mean is a long one.
constexpr int longRequestMeans = 3;

// A backend server returns a packet of a flow that it does not hold at once.
constexpr std::chrono::milliseconds tentativeLifetime { 2000 };

// A flow that is idle for longer may be discarded; the balancers ask again when it goes on.
constexpr std::chrono::milliseconds idleLimit { 30000 };

constexpr std::chrono::milliseconds sweepInterval { 500 };

// Demand is averaged over about this time: long against the time between flows at one agent (some 20 ms), short against
// a change of the load (seconds).
constexpr std::chrono::milliseconds demandWindow { 300 };
constexpr double allPercent = 100;
constexpr double mostDemandPercent = 1000;

double seconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

// The caller's next packet follows the first one after two ways to the caller, at most 8 ms, and the delays of the
// processes. A flow whose caller has gone on elsewhere must not keep a slot free for longer.
constexpr std::chrono::milliseconds openingTimeout { 50 };

// A backend server answers a first packet within 0.3 ms on its own machine; a later answer is taken all the same.
constexpr std::chrono::milliseconds answerTimeout { 30 };

// A backend server that is silent gets the next flows after this time: they show whether it is back, and cost their
// callers answerTimeout.
constexpr std::chrono::milliseconds silencePause { 500 };

// The prediction of the wait may be short by half a request.
constexpr std::chrono::milliseconds heldSlack { 10 };

}

HostAdmission::HostAdmission(std::uint64_t agentLifetime, std::uint64_t ownService, MarkReader requestReader,
    MarkReader answerReader, TimePoint now, std::chrono::milliseconds longestFlow)
    : lifetime(agentLifetime)
    , service(ownService)
    , readRequest(std::move(requestReader))
    , readAnswer(std::move(answerReader))
    , startedAt(now)
    , flowLifetime(longestFlow)
{
}

std::uint32_t HostAdmission::heldLate() const
{
    const auto firstLate = this->held.lower_bound({ FlowUrgency::Late, 0 });
    return static_cast<std::uint32_t>(std::distance(firstLate, this->held.end()));
}

double HostAdmission::decayedDemand(TimePoint now) const
{
    return this->demand * std::exp(-seconds(now - this->demandAt) / seconds(demandWindow));
}

std::uint32_t HostAdmission::deliveryLimit(FlowUrgency urgency) const
{
    // A late flow takes only a slot that is free: opened ahead it would make the flows in time that come next wait for
    // longer than they may, so that they are refused.
    return urgency == FlowUrgency::InTime ? this->slots * (1 + openedAheadPerSlot) : this->slots;
}

// Whether a held flow has waited, or would have to wait at the backend server, for longer than it may. What runs longer
// than expected makes the wait longer than it was when the flow was admitted; a slot given to a flow that is late for
// it makes the next one late as well.
bool HostAdmission::isOverdue(const HeldFlow& flow, TimePoint now) const
{
    std::chrono::nanoseconds wait = now - flow.since;
    if (flow.offer.urgency == FlowUrgency::InTime) {
        AgentLoad load = this->currentLoad(now);
        load.held = 0; // it is the next one
        wait += expectedWait(load, 0, FlowUrgency::InTime);
    }
    return wait > flow.offer.waitLimit + heldSlack;
}

SendVerdict HostAdmission::refuseHeld(const HeldFlow& flow, TimePoint now)
{
    return { flow.offer.balancer, flow.flow, FlowVerdict::RefusedFull, {},
        std::chrono::duration_cast<std::chrono::microseconds>(now - flow.since) };
}

std::uint32_t HostAdmission::occupied() const
{
    return this->flows.opening() + this->flows.working() + static_cast<std::uint32_t>(this->held.size());
}

AgentLoad HostAdmission::currentLoad(TimePoint now) const
{
    AgentLoad load;
    load.lifetime = this->lifetime;
    load.sequence = this->sequence;
    load.service = this->service;
    load.slots = this->slots;
    load.working = this->flows.working();
    load.opening = this->flows.opening();
    load.heldLate = this->heldLate();
    load.held = static_cast<std::uint32_t>(this->held.size()) - load.heldLate;
    load.meanWork = this->meanWork;
    const auto mean = this->meanWork.count() > 0 ? this->meanWork : assumedWork;
    const double slotSeconds = this->decayedDemand(now) / seconds(demandWindow) * seconds(mean);
    load.demandPercent
        = static_cast<std::uint32_t>(std::clamp(slotSeconds / this->slots * allPercent, 0.0, mostDemandPercent));
    load.longRunning = this->flows.workingLongerThan(mean * longRequestMeans, now);
    load.leaving = this->leaving || this->isHostSilent(now);
    return load;
}

AgentLoad HostAdmission::load(TimePoint now)
{
    ++this->sequence;
    return this->currentLoad(now);
}

void HostAdmission::newFlow(const FlowOffer& offer, std::uint64_t flowService, const FlowPacket& packet,
    std::span<const std::uint8_t> datagram, TimePoint now, std::vector<AgentAction>& actions)
{
    const FlowKey key = packet.keyFromCaller();
    if (flowService != this->service) {
        actions.emplace_back(SendVerdict { offer.balancer, key, FlowVerdict::WrongService, {}, {} });
        return;
    }
    if (offer.slots > 0) {
        this->slots = offer.slots;
    }
    if (HostFlow* flow = this->flows.find(key)) {
        // The caller repeats its packet: the backend server answers again.
        if (flow->phase == HostFlowPhase::Stalled) {
            this->flows.setPhase(*flow, HostFlowPhase::Opening, now);
        }
        flow->balancer = offer.balancer;
        flow->lastPacket = now;
        actions.emplace_back(DeliverToBackendServer { datagram });
        actions.emplace_back(SendVerdict { offer.balancer, key, FlowVerdict::Admitted, {}, {} });
        return;
    }
    const bool isHeld
        = std::any_of(this->held.begin(), this->held.end(), [&](const auto& item) { return item.second.flow == key; });
    if (isHeld) {
        actions.emplace_back(SendVerdict { offer.balancer, key, FlowVerdict::Admitted, {}, {} });
        return;
    }
    if (this->leaving) {
        actions.emplace_back(SendVerdict { offer.balancer, key, FlowVerdict::RefusedLeaving, {}, {} });
        return;
    }
    if (this->isHostSilent(now)) {
        actions.emplace_back(SendVerdict { offer.balancer, key, FlowVerdict::RefusedByBackendServer, {}, {} });
        return;
    }
    const AgentLoad load = this->currentLoad(now);
    const auto wait = expectedWait(load, 0, offer.urgency);
    if (offer.urgency == FlowUrgency::InTime) {
        this->demand = this->decayedDemand(now) + 1;
        this->demandAt = now;
    }
    if (wait > offer.waitLimit) {
        actions.emplace_back(SendVerdict { offer.balancer, key, FlowVerdict::RefusedFull, wait, {} });
        return;
    }
    actions.emplace_back(SendVerdict { offer.balancer, key, FlowVerdict::Admitted, wait, {} });
    if (load.opening + load.working >= this->deliveryLimit(offer.urgency)) {
        this->held.emplace(HeldRank { offer.urgency, offer.priority },
            HeldFlow { key, offer, now, { datagram.begin(), datagram.end() } });
        return;
    }
    this->flows.open(key, offer.balancer, now);
    actions.emplace_back(DeliverToBackendServer { datagram });
}

void HostAdmission::unknownFlow(const Endpoint& balancer, bool search, const FlowPacket& packet,
    std::span<const std::uint8_t> datagram, TimePoint now, std::vector<AgentAction>& actions)
{
    const FlowKey key = packet.keyFromCaller();
    // An agent that started less than the lifetime of a flow ago may have a backend server with older flows.
    if (now - this->startedAt > this->flowLifetime) {
        if (!search) {
            actions.emplace_back(SendVerdict { balancer, key, FlowVerdict::NotFound, {}, {} });
        }
        return;
    }
    this->tentative.insert_or_assign(key, TentativeDelivery { balancer, now });
    actions.emplace_back(DeliverToBackendServer { datagram });
}

void HostAdmission::callerPacket(const Endpoint& balancer, std::uint64_t flowService, bool search,
    const FlowPacket& packet, std::span<const std::uint8_t> datagram, TimePoint now, std::vector<AgentAction>& actions)
{
    const FlowKey key = packet.keyFromCaller();
    if (flowService != this->service) {
        actions.emplace_back(SendVerdict { balancer, key, FlowVerdict::WrongService, {}, {} });
        return;
    }
    HostFlow* flow = this->flows.find(key);
    if (flow == nullptr) {
        this->unknownFlow(balancer, search, packet, datagram, now, actions);
        return;
    }
    const bool unopened = flow->phase == HostFlowPhase::Opening || flow->phase == HostFlowPhase::Stalled;
    if (unopened && packet.acknowledges && (!flow->hostAnswered || packet.acknowledgement != flow->hostSequence + 1)) {
        // The caller took another backend server's answer to its first packet.
        this->flows.erase(key);
        if (!search) {
            actions.emplace_back(SendVerdict { balancer, key, FlowVerdict::NotFound, {}, {} });
        }
        this->deliverHeld(now, actions);
        return;
    }
    if (search || flow->balancer != balancer) {
        flow->balancer = balancer;
        actions.emplace_back(SendVerdict { balancer, key, FlowVerdict::Owned, {}, {} });
    }
    flow->lastPacket = now;
    if (!packet.payload.empty()) {
        this->flows.setPhase(*flow, HostFlowPhase::Working, now);
        if (auto marks = this->readRequest(packet.payload); !marks.requestId.empty()) {
            flow->requestId = std::move(marks.requestId);
            actions.emplace_back(ReportRequest { key, flow->requestId, this->flows.working() });
        }
    }
    flow->callerFinished = flow->callerFinished || packet.finishes;
    if (packet.resets || (flow->callerFinished && flow->hostFinished)) {
        this->flows.setPhase(*flow, HostFlowPhase::Closed, now);
    }
    actions.emplace_back(DeliverToBackendServer { datagram });
    this->deliverHeld(now, actions);
}

void HostAdmission::learnWork(std::chrono::microseconds work)
{
    this->meanWork = this->meanWork.count() == 0 ? (assumedWork + work) / 2
                                                 : (this->meanWork * (meanWeight - 1) + work) / meanWeight;
}

void HostAdmission::answerBegins(HostFlow& flow, TimePoint now)
{
    flow.work = std::chrono::duration_cast<std::chrono::microseconds>(now - flow.phaseSince);
    // With more requests than slots the time contains the wait at the backend server.
    if (this->flows.working() <= this->slots) {
        this->learnWork(flow.work);
    }
    this->flows.setPhase(flow, HostFlowPhase::Idle, now);
}

void HostAdmission::reportAnswer(
    HostFlow& flow, const FlowKey& key, const FlowPacket& packet, TimePoint now, std::vector<AgentAction>& actions)
{
    // The packets of an answer arrive in any order; the first bytes tell its status.
    const RequestMarks marks = this->readAnswer(packet.payload);
    if (marks.status == 0) {
        return;
    }
    actions.emplace_back(ReportAnswer { key, std::move(flow.requestId), marks.status,
        std::chrono::duration_cast<std::chrono::microseconds>(now - flow.startedAt), flow.work });
    flow.requestId.clear();
}

void HostAdmission::returnedPacket(const FlowPacket& packet, TimePoint now, std::vector<AgentAction>& actions)
{
    const FlowKey key = packet.keyFromCaller();
    HostFlow* flow = this->flows.find(key);
    if (flow == nullptr) {
        this->tentative.erase(key); // another agent's backend server holds the flow, or none
        return;
    }
    if (flow->phase == HostFlowPhase::Closed) {
        return; // a late packet of a flow that has ended
    }
    const Endpoint balancer = flow->balancer;
    if (!flow->requestId.empty()) {
        actions.emplace_back(ReportLostRequest { key, std::move(flow->requestId) });
    }
    this->flows.erase(key);
    actions.emplace_back(SendVerdict {
        balancer, key, packet.isFirst() ? FlowVerdict::RefusedByBackendServer : FlowVerdict::Lost, {}, {} });
    this->deliverHeld(now, actions);
}

void HostAdmission::hostPacket(
    const FlowPacket& packet, std::span<const std::uint8_t> datagram, TimePoint now, std::vector<AgentAction>& actions)
{
    this->hostSilentUntil = TimePoint();
    if (packet.returned) {
        this->returnedPacket(packet, now, actions);
        return;
    }
    const FlowKey key = packet.keyFromBackendServer();
    actions.emplace_back(DeliverToCaller { packet.destination, datagram });
    HostFlow* flow = this->flows.find(key);
    if (flow == nullptr) {
        const auto delivery = this->tentative.find(key);
        if (delivery != this->tentative.end()) {
            // The flow is older than this agent.
            HostFlow& found = this->flows.open(key, delivery->second.balancer, now);
            this->flows.setPhase(found, HostFlowPhase::Idle, now);
            actions.emplace_back(SendVerdict { delivery->second.balancer, key, FlowVerdict::Owned, {}, {} });
            this->tentative.erase(delivery);
        }
        return;
    }
    flow->lastPacket = now;
    if (packet.opens) {
        flow->hostSequence = packet.sequence;
        flow->hostAnswered = true;
    }
    if (flow->phase == HostFlowPhase::Working && !packet.payload.empty()) {
        this->answerBegins(*flow, now);
    }
    if (!flow->requestId.empty() && !packet.payload.empty()) {
        this->reportAnswer(*flow, key, packet, now, actions);
    }
    flow->hostFinished = flow->hostFinished || packet.finishes;
    if (packet.resets || (flow->callerFinished && flow->hostFinished)) {
        this->flows.setPhase(*flow, HostFlowPhase::Closed, now);
    }
    this->deliverHeld(now, actions);
}

void HostAdmission::deliverHeld(TimePoint now, std::vector<AgentAction>& actions)
{
    while (!this->held.empty()
        && this->flows.opening() + this->flows.working()
            < this->deliveryLimit(this->held.begin()->second.offer.urgency)) {
        HeldFlow& next = this->delivered.emplace_back(std::move(this->held.begin()->second));
        this->held.erase(this->held.begin());
        if (this->isOverdue(next, now)) {
            actions.emplace_back(refuseHeld(next, now));
            continue;
        }
        this->flows.open(next.flow, next.offer.balancer, now);
        actions.emplace_back(DeliverToBackendServer { next.datagram });
    }
}

void HostAdmission::setService(std::uint64_t nextService, std::vector<AgentAction>& actions)
{
    this->service = nextService;
    for (const auto& [rank, flow] : this->held) {
        actions.emplace_back(SendVerdict { flow.offer.balancer, flow.flow, FlowVerdict::WrongService, {}, {} });
    }
    this->held.clear();
}

void HostAdmission::refuseUnanswered(TimePoint now, std::vector<AgentAction>& actions)
{
    for (const FlowKey& key : this->flows.unanswered(answerTimeout, now)) {
        // The flow stays known: a late answer of the backend server may still open it.
        HostFlow& flow = *this->flows.find(key);
        actions.emplace_back(SendVerdict { flow.balancer, key, FlowVerdict::RefusedByBackendServer, {}, {} });
        this->flows.setPhase(flow, HostFlowPhase::Stalled, now);
        this->hostSilentUntil = now + silencePause;
    }
    if (!this->isHostSilent(now)) {
        return;
    }
    for (const auto& [rank, flow] : this->held) {
        actions.emplace_back(
            SendVerdict { flow.offer.balancer, flow.flow, FlowVerdict::RefusedByBackendServer, {}, {} });
    }
    this->held.clear();
}

void HostAdmission::tick(TimePoint now, std::vector<AgentAction>& actions)
{
    this->delivered.clear();
    this->refuseUnanswered(now, actions);
    this->flows.stall(openingTimeout, now);
    this->deliverHeld(now, actions);
    for (auto item = this->held.begin(); item != this->held.end();) {
        if (!this->isOverdue(item->second, now)) {
            ++item;
            continue;
        }
        actions.emplace_back(refuseHeld(item->second, now));
        item = this->held.erase(item);
    }
    if (now < this->nextSweep) {
        return;
    }
    this->nextSweep = now + sweepInterval;
    this->flows.expire(idleLimit, now);
    std::erase_if(this->tentative, [&](const auto& item) { return now - item.second.since > tentativeLifetime; });
}

}
