#include "coordination/HostAdmission.h"

#include <algorithm>
#include <cmath>

namespace chicoryferry {

namespace {

// Flows opened in advance per slot. Without them a slot is idle between an answer and the next request while the
// handshake takes up to 8 ms, compared with 13 ms of work per request. The backend server's queue holds 8.
constexpr std::uint32_t preopenedFlowsPerSlot = 1;

// Each request contributes 1/16 to the moving average, which follows a change within about ten requests.
constexpr int meanWorkSmoothing = 16;

// A request counts as long-running once it has taken this many times the mean work time.
constexpr int longRequestFactor = 3;

// A backend server immediately returns a packet of a flow that it does not hold.
constexpr std::chrono::milliseconds tentativeLifetime { 2000 };

// The caller abandons a connection attempt 1.4 s after its first packet.
constexpr std::chrono::milliseconds openingLifetime { 1400 };

// A caller repeats its packets, and balancers their questions, at intervals of up to 1.6 s.
constexpr std::chrono::milliseconds absentRetention { 2000 };

// Bounds the memory used after all machines have lost power; each flow takes about 50 bytes.
constexpr std::size_t maximumReturnedFlows = 4096;

constexpr std::chrono::milliseconds sweepInterval { 500 };

// Time constant of the demand average: long compared with the interval between flows at one agent (about 20 ms), short
// compared with changes of the load (seconds).
constexpr std::chrono::milliseconds demandWindow { 300 };
constexpr double hundredPercent = 100;
constexpr double maxDemandPercent = 1000;

double seconds(std::chrono::nanoseconds duration) { return std::chrono::duration<double>(duration).count(); }

// The caller's second packet arrives one round trip to the caller (at most 8 ms) plus processing delays after the
// first. A flow whose caller has continued at another backend server must not reserve a slot for longer than this.
constexpr std::chrono::milliseconds openingTimeout { 50 };

// A backend server answers a first packet within 0.3 ms on the same machine. Later answers are still accepted.
constexpr std::chrono::milliseconds answerTimeout { 30 };

// A silent backend server receives new flows again after this time. They probe whether it has recovered; if it has not,
// each of them is delayed by answerTimeout.
constexpr std::chrono::milliseconds silenceBackoff { 500 };

// The wait estimate may be too low by half a request.
constexpr std::chrono::milliseconds waitTolerance { 10 };

}

HostAdmission::HostAdmission(std::uint64_t agentIncarnation, std::uint64_t localService, MetadataParser requestReader,
    MetadataParser answerReader, TimePoint now, std::chrono::milliseconds longestFlow)
    : incarnation(agentIncarnation)
    , service(localService)
    , readRequest(std::move(requestReader))
    , readAnswer(std::move(answerReader))
    , startedAt(now)
    , flowLifetime(longestFlow)
    , coldStarts(now)
{
}

bool HostAdmission::mayHaveBeenAnsweredBeforeStart(TimePoint now) const
{
    return now - this->startedAt < openingLifetime;
}

std::uint32_t HostAdmission::heldLate() const
{
    const auto firstLate = this->held.lower_bound({ FlowUrgency::Late, 0 });
    return static_cast<std::uint32_t>(std::distance(firstLate, this->held.end()));
}

double HostAdmission::decayedDemand(TimePoint now) const
{
    return this->demand * std::exp(-seconds(now - this->demandUpdatedAt) / seconds(demandWindow));
}

std::uint32_t HostAdmission::deliveryLimit(FlowUrgency urgency) const
{
    // Late flows only take free slots. If they were opened in advance, subsequent in-time flows would exceed their wait
    // limit and be refused.
    return urgency == FlowUrgency::InTime ? this->slots * (1 + preopenedFlowsPerSlot) : this->slots;
}

// Whether the time that a queued flow has waited exceeds its wait limit; for in-time flows the expected wait at the
// backend server is added. Requests that run longer than expected extend the wait beyond the estimate made at
// admission. Giving a slot to a flow that is already overdue would make the next flow overdue as well.
bool HostAdmission::isOverdue(const HeldFlow& flow, TimePoint now) const
{
    std::chrono::nanoseconds wait = now - flow.since;
    if (flow.offer.urgency == FlowUrgency::InTime) {
        AgentLoad load = this->currentLoad(now);
        load.held = 0; // this flow is next in the queue
        wait += expectedWait(load, 0, FlowUrgency::InTime);
    }
    return wait > flow.offer.waitLimit + waitTolerance;
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
    load.incarnation = this->incarnation;
    load.sequence = this->sequence;
    load.service = this->service;
    load.slots = this->slots;
    load.working = this->flows.working();
    load.opening = this->flows.opening();
    load.heldLate = this->heldLate();
    load.held = static_cast<std::uint32_t>(this->held.size()) - load.heldLate;
    load.meanWork = this->meanWork;
    const auto mean = this->meanWork.count() > 0 ? this->meanWork : defaultMeanWork;
    const double slotSeconds = this->decayedDemand(now) / seconds(demandWindow) * seconds(mean);
    load.demandPercent
        = static_cast<std::uint32_t>(std::clamp(slotSeconds / this->slots * hundredPercent, 0.0, maxDemandPercent));
    load.startWait = this->coldStarts.wait(now, this->held.size());
    load.longRunning = this->flows.workingLongerThan(mean * longRequestFactor, now);
    load.leaving = this->leaving || this->isBackendServerSilent(now) || this->evacuated;
    return load;
}

AgentLoad HostAdmission::load(TimePoint now)
{
    ++this->sequence;
    return this->currentLoad(now);
}

void HostAdmission::handleNewFlow(const FlowOffer& offer, std::uint64_t flowService, const FlowPacket& packet,
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
    this->coldStarts.update(offer.coldRemaining, offer.coldStartsPerSecond, now);
    HostFlow* flow = this->flows.find(key);
    if (flow != nullptr && flow->phase == HostFlowPhase::Closed) {
        this->flows.erase(key); // the caller uses the port of a flow that has ended for a new one
        flow = nullptr;
    }
    this->returnedFlows.erase(key); // the backend server may hold it from now on
    if (flow != nullptr) {
        if (flow->opened) {
            // A late copy. The backend server would return it, as if it did not hold the flow.
            actions.emplace_back(SendVerdict { offer.balancer, key, FlowVerdict::Owned, {}, {} });
            return;
        }
        // The caller retransmits its first packet: deliver it so that the backend server answers again.
        flow->balancer = offer.balancer;
        flow->lastPacket = now;
        if (this->coldStarts.wait(now, 0).count() == 0) {
            if (flow->phase == HostFlowPhase::Stalled) {
                this->flows.setPhase(*flow, HostFlowPhase::Opening, now);
            }
            this->coldStarts.record(now);
            actions.emplace_back(DeliverToBackendServer { datagram });
        }
        actions.emplace_back(SendVerdict { offer.balancer, key, FlowVerdict::Admitted, {}, {} });
        return;
    }
    if (this->declinedFlows.contains(key)) {
        actions.emplace_back(SendVerdict { offer.balancer, key, FlowVerdict::RefusedByBackendServer, {}, {} });
        return;
    }
    const bool isHeld
        = std::any_of(this->held.begin(), this->held.end(), [&](const auto& item) { return item.second.flow == key; });
    if (isHeld) {
        actions.emplace_back(SendVerdict { offer.balancer, key, FlowVerdict::Admitted, {}, {} });
        return;
    }
    // The backend server may have accepted an earlier transmission. A reset would end the attempt of a caller that has
    // not received its answer yet; one that has received it ignores the reset of a first packet.
    const bool possiblyAccepted = packet.acknowledgement > 0 && this->mayHaveBeenAnsweredBeforeStart(now);
    if (this->leaving || this->evacuated) {
        const auto refusal = this->leaving ? FlowVerdict::RefusedLeaving : FlowVerdict::RefusedEvacuated;
        actions.emplace_back(SendVerdict {
            offer.balancer, key, possiblyAccepted ? FlowVerdict::RefusedByBackendServer : refusal, {}, {} });
        return;
    }
    if (this->isBackendServerSilent(now)) {
        actions.emplace_back(SendVerdict { offer.balancer, key, FlowVerdict::RefusedByBackendServer, {}, {} });
        return;
    }
    const AgentLoad load = this->currentLoad(now);
    const auto wait = expectedWait(load, 0, offer.urgency);
    if (offer.urgency == FlowUrgency::InTime) {
        this->demand = this->decayedDemand(now) + 1;
        this->demandUpdatedAt = now;
    }
    if (wait > offer.waitLimit) {
        actions.emplace_back(SendVerdict { offer.balancer, key,
            possiblyAccepted ? FlowVerdict::RefusedByBackendServer : FlowVerdict::RefusedFull, wait, {} });
        return;
    }
    actions.emplace_back(SendVerdict { offer.balancer, key, FlowVerdict::Admitted, wait, {} });
    if (load.startWait.count() > 0 || load.opening + load.working >= this->deliveryLimit(offer.urgency)) {
        this->held.emplace(HeldPriority { offer.urgency, offer.priority },
            HeldFlow { key, offer, now, { datagram.begin(), datagram.end() } });
        return;
    }
    this->coldStarts.record(now);
    this->flows.open(key, offer.balancer, now);
    actions.emplace_back(DeliverToBackendServer { datagram });
}

bool HostAdmission::isOpenElsewhere(const HostFlow& flow, std::optional<std::uint32_t> acknowledgement)
{
    return !flow.opened && flow.phase != HostFlowPhase::Closed && acknowledgement
        && (!flow.hostAnswered || *acknowledgement != flow.hostSequence + 1);
}

void HostAdmission::abandonOpening(const FlowKey& key, const HostFlow& flow, TimePoint now)
{
    const bool answered = flow.hostAnswered;
    this->flows.erase(key);
    if (answered || !this->mayHoldUnknownFlows(now)) {
        this->declinedFlows.insert_or_assign(key, now);
    }
}

bool HostAdmission::isKnownAbsent(const FlowKey& key, TimePoint now)
{
    if (const auto returned = this->returnedFlows.find(key); returned != this->returnedFlows.end()) {
        returned->second = now;
        return true;
    }
    // The caller sends later packets only after it has accepted an answer, so a held flow is open elsewhere.
    const auto dropped = std::erase_if(this->held, [&](const auto& item) { return item.second.flow == key; });
    if (dropped > 0 && !this->mayHoldUnknownFlows(now)) {
        this->declinedFlows.insert_or_assign(key, now);
    }
    const auto declined = this->declinedFlows.find(key);
    if (declined == this->declinedFlows.end()) {
        return false;
    }
    declined->second = now;
    return true;
}

void HostAdmission::handleQuery(
    const Endpoint& balancer, const FlowQuery& query, TimePoint now, std::vector<AgentAction>& actions)
{
    auto verdict = FlowVerdict::NotFound;
    if (HostFlow* flow = this->flows.find(query.flow)) {
        if (isOpenElsewhere(*flow, query.acknowledgement)) {
            // A backend server that has not answered since this agent's start may have answered before.
            if (!flow->hostAnswered && this->mayHoldUnknownFlows(now)) {
                verdict = FlowVerdict::MayHold;
            }
            this->abandonOpening(query.flow, *flow, now);
            this->deliverHeld(now, actions);
        } else if (flow->phase != HostFlowPhase::Closed) {
            verdict = FlowVerdict::Owned;
            flow->balancer = balancer;
        }
    } else if (!this->isKnownAbsent(query.flow, now) && this->mayHoldUnknownFlows(now)) {
        verdict = FlowVerdict::MayHold;
    }
    actions.emplace_back(SendVerdict { balancer, query.flow, verdict, {}, {} });
}

HostFlow& HostAdmission::adoptFlow(
    const FlowKey& key, const Endpoint& balancer, TimePoint now, std::vector<AgentAction>& actions)
{
    HostFlow& flow = this->flows.open(key, balancer, now);
    this->flows.setPhase(flow, HostFlowPhase::Idle, now);
    actions.emplace_back(ReportRecoveredFlow { key });
    return flow;
}

void HostAdmission::handleUnknownFlow(const Endpoint& balancer, const FlowPacket& packet,
    std::span<const std::uint8_t> datagram, TimePoint now, std::vector<AgentAction>& actions)
{
    const FlowKey key = packet.keyFromCaller();
    if (this->isKnownAbsent(key, now) || !this->mayHoldUnknownFlows(now)) {
        actions.emplace_back(SendVerdict { balancer, key, FlowVerdict::NotFound, {}, {} });
        return;
    }
    this->tentativeDeliveries.insert_or_assign(key, TentativeDelivery { balancer, now });
    actions.emplace_back(DeliverToBackendServer { datagram });
}

void HostAdmission::handleCallerPacket(const Endpoint& balancer, std::uint64_t flowService, SteeringPurpose purpose,
    const FlowPacket& packet, std::span<const std::uint8_t> datagram, TimePoint now, std::vector<AgentAction>& actions)
{
    const FlowKey key = packet.keyFromCaller();
    if (flowService != this->service) {
        actions.emplace_back(SendVerdict { balancer, key, FlowVerdict::WrongService, {}, {} });
        return;
    }
    HostFlow* flow = this->flows.find(key);
    if (flow == nullptr) {
        this->handleUnknownFlow(balancer, packet, datagram, now, actions);
        return;
    }
    if (isOpenElsewhere(*flow, packet.acknowledges ? std::optional(packet.acknowledgement) : std::nullopt)) {
        this->abandonOpening(key, *flow, now);
        this->handleUnknownFlow(balancer, packet, datagram, now, actions);
        this->deliverHeld(now, actions);
        return;
    }
    if (purpose != SteeringPurpose::KnownFlow || flow->balancer != balancer) {
        flow->balancer = balancer;
        actions.emplace_back(SendVerdict { balancer, key, FlowVerdict::Owned, {}, {} });
    }
    flow->lastPacket = now;
    flow->opened = flow->opened || packet.acknowledges;
    if (!packet.payload.empty()) {
        this->flows.setPhase(*flow, HostFlowPhase::Working, now);
        if (auto metadata = this->readRequest(packet.payload); !metadata.requestId.empty()) {
            flow->requestId = std::move(metadata.requestId);
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

void HostAdmission::updateMeanWork(std::chrono::microseconds work)
{
    this->meanWork = this->meanWork.count() == 0
        ? (defaultMeanWork + work) / 2
        : (this->meanWork * (meanWorkSmoothing - 1) + work) / meanWorkSmoothing;
}

void HostAdmission::recordAnswerStart(HostFlow& flow, TimePoint now)
{
    flow.workDuration = std::chrono::duration_cast<std::chrono::microseconds>(now - flow.phaseSince);
    // With more requests than slots the measured time includes queueing at the backend server.
    if (this->flows.working() <= this->slots) {
        this->updateMeanWork(flow.workDuration);
    }
    this->flows.setPhase(flow, HostFlowPhase::Idle, now);
}

void HostAdmission::reportAnswer(
    HostFlow& flow, const FlowKey& key, const FlowPacket& packet, TimePoint now, std::vector<AgentAction>& actions)
{
    // Packets of an answer may arrive out of order; only the one with the first bytes contains the status.
    const PayloadMetadata metadata = this->readAnswer(packet.payload);
    if (metadata.status == 0) {
        return;
    }
    actions.emplace_back(ReportAnswer { key, std::move(flow.requestId), metadata.status,
        std::chrono::duration_cast<std::chrono::microseconds>(now - flow.startedAt), flow.workDuration });
    flow.requestId.clear();
}

void HostAdmission::recordReturned(const FlowKey& key, TimePoint now)
{
    if (this->returnedFlows.size() < maximumReturnedFlows) {
        this->returnedFlows.insert_or_assign(key, now);
    }
}

void HostAdmission::handleReturnedPacket(const FlowPacket& packet, TimePoint now, std::vector<AgentAction>& actions)
{
    const FlowKey key = packet.keyFromCaller();
    HostFlow* flow = this->flows.find(key);
    if (flow == nullptr) {
        if (packet.isFirst()) {
            return; // a late copy; the answer to a packet delivered on trial is still to come
        }
        // The flow is held by another agent's backend server or by none.
        this->recordReturned(key, now);
        if (const auto delivery = this->tentativeDeliveries.extract(key)) {
            actions.emplace_back(ReportReturnedPacket { key, false });
            actions.emplace_back(SendVerdict { delivery.mapped().balancer, key, FlowVerdict::NotFound, {}, {} });
        }
        return;
    }
    if (flow->phase == HostFlowPhase::Closed) {
        return; // a late packet of a flow that has ended
    }
    if (!packet.isFirst()) {
        this->recordReturned(key, now);
        actions.emplace_back(ReportReturnedPacket { key, true });
    }
    const Endpoint balancer = flow->balancer;
    if (!flow->requestId.empty()) {
        actions.emplace_back(ReportLostRequest { key, std::move(flow->requestId) });
    }
    this->flows.erase(key);
    if (balancer.address == 0) {
        return; // an adopted flow; the balancer that asks for it next learns that it is not here
    }
    actions.emplace_back(SendVerdict {
        balancer, key, packet.isFirst() ? FlowVerdict::RefusedByBackendServer : FlowVerdict::Lost, {}, {} });
    this->deliverHeld(now, actions);
}

void HostAdmission::handleBackendServerPacket(
    const FlowPacket& packet, std::span<const std::uint8_t> datagram, TimePoint now, std::vector<AgentAction>& actions)
{
    this->hostSilentUntil = TimePoint();
    if (packet.returned) {
        this->handleReturnedPacket(packet, now, actions);
        return;
    }
    const FlowKey key = packet.keyFromBackendServer();
    HostFlow* flow = this->flows.find(key);
    const auto delivery = this->tentativeDeliveries.find(key);
    const bool onTrial = flow == nullptr && delivery != this->tentativeDeliveries.end();
    if (onTrial && packet.resets) {
        return; // the backend server had the flow and ended it, so that it may be open elsewhere
    }
    actions.emplace_back(DeliverToCaller { packet.destination, datagram });
    if (flow == nullptr) {
        // A backend server repeats its answer to a first packet also for a flow that is open elsewhere.
        if (packet.opens || packet.resets || !this->mayHoldUnknownFlows(now)) {
            return;
        }
        // The flow was opened before this agent started.
        const Endpoint balancer = onTrial ? delivery->second.balancer : Endpoint();
        this->adoptFlow(key, balancer, now, actions);
        if (onTrial) {
            actions.emplace_back(SendVerdict { balancer, key, FlowVerdict::Owned, {}, {} });
            this->tentativeDeliveries.erase(delivery);
        }
        return;
    }
    flow->lastPacket = now;
    if (packet.opens) {
        flow->hostSequence = packet.sequence;
        flow->hostAnswered = true;
    }
    if (flow->phase == HostFlowPhase::Working && !packet.payload.empty()) {
        this->recordAnswerStart(*flow, now);
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
    while (!this->held.empty() && this->coldStarts.wait(now, 0).count() == 0
        && this->flows.opening() + this->flows.working()
            < this->deliveryLimit(this->held.begin()->second.offer.urgency)) {
        HeldFlow& next = this->delivered.emplace_back(std::move(this->held.begin()->second));
        this->held.erase(this->held.begin());
        if (this->isOverdue(next, now)) {
            actions.emplace_back(refuseHeld(next, now));
            continue;
        }
        this->coldStarts.record(now);
        this->flows.open(next.flow, next.offer.balancer, now);
        actions.emplace_back(DeliverToBackendServer { next.datagram });
    }
}

void HostAdmission::setService(std::uint64_t nextService, std::vector<AgentAction>& actions)
{
    this->service = nextService;
    this->refuseAllHeld(FlowVerdict::WrongService, actions);
}

void HostAdmission::setEvacuated(bool isEvacuated, std::vector<AgentAction>& actions)
{
    this->evacuated = isEvacuated;
    if (isEvacuated) {
        this->refuseAllHeld(FlowVerdict::RefusedEvacuated, actions);
    }
}

void HostAdmission::refuseAllHeld(FlowVerdict verdict, std::vector<AgentAction>& actions)
{
    for (const auto& [heldPriority, flow] : this->held) {
        actions.emplace_back(SendVerdict { flow.offer.balancer, flow.flow, verdict, {}, {} });
    }
    this->held.clear();
}

void HostAdmission::refuseUnanswered(TimePoint now, std::vector<AgentAction>& actions)
{
    for (const FlowKey& key : this->flows.unanswered(answerTimeout, now)) {
        // Keep the flow in the table: a late answer of the backend server may still open it.
        HostFlow& flow = *this->flows.find(key);
        actions.emplace_back(SendVerdict { flow.balancer, key, FlowVerdict::RefusedByBackendServer, {}, {} });
        this->flows.setPhase(flow, HostFlowPhase::Stalled, now);
        this->hostSilentUntil = now + silenceBackoff;
    }
    if (!this->isBackendServerSilent(now)) {
        return;
    }
    this->refuseAllHeld(FlowVerdict::RefusedByBackendServer, actions);
}

void HostAdmission::tick(TimePoint now, std::vector<AgentAction>& actions)
{
    this->delivered.clear();
    this->refuseUnanswered(now, actions);
    this->flows.markStalled(openingTimeout, now);
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
    // A flow that was removed earlier might still be open: the agent would then deny that it holds the flow.
    this->flows.expire(this->flowLifetime, now);
    std::erase_if(
        this->tentativeDeliveries, [&](const auto& item) { return now - item.second.since > tentativeLifetime; });
    const auto isForgotten = [&](const auto& item) { return now - item.second > absentRetention; };
    std::erase_if(this->declinedFlows, isForgotten);
    std::erase_if(this->returnedFlows, isForgotten);
}

}
