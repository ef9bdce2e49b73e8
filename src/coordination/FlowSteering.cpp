#include "coordination/FlowSteering.h"

#include "coordination/FlowPlacement.h"
#include "coordination/ServiceSplit.h"
#include "state/HostDirectory.h"

#include <algorithm>

namespace chicoryferry {

namespace {

// An agent answers within one network round trip (at most 4 ms) plus its scheduling delay. The timeout is well below
// the 200 ms after which the caller retransmits its packet.
constexpr std::chrono::milliseconds verdictTimeout { 30 };

// Maximum time that a new flow waits for the configuration or for an agent, for example just after startup. The caller
// retransmits its packet after 200 ms.
constexpr std::chrono::milliseconds agentWait { 150 };

// Each further attempt costs a round trip, and the first refusals already show that the service is full.
constexpr std::size_t maxAgentsTried = 4;

// Bounds the memory used by new flows that no agent has admitted yet; each takes about 200 bytes.
constexpr std::size_t maxOpenings = 4096;

// Fraction of the target latency that may be spent waiting for a slot; the rest is for processing and the network. With
// a larger fraction, flows are admitted that miss their target behind long requests (OverloadSimulationTest).
constexpr double waitShareOfTarget = 0.4;

// A flow that can no longer meet its target latency is still served if a slot is expected to be free within this
// fraction of the time until its caller times out.
constexpr double waitShareOfRemainingTime = 0.6;

std::chrono::milliseconds scale(std::chrono::milliseconds duration, double factor)
{
    return std::chrono::milliseconds(static_cast<std::int64_t>(factor * static_cast<double>(duration.count())));
}

// Maximum time that the flow may wait for a slot. age: how long its caller has already waited.
std::chrono::milliseconds waitLimit(const FlowRoute& route, FlowUrgency urgency, std::chrono::milliseconds age)
{
    if (urgency == FlowUrgency::InTime) {
        return scale(route.targetLatency, waitShareOfTarget) - age;
    }
    return scale(route.timeout - age, waitShareOfRemainingTime);
}

// A flow that was refused but may not be reset is offered again after this time, and then at doubling intervals: each
// slot becomes free about twice meanwhile, because requests take about 20 ms on average.
constexpr std::chrono::milliseconds firstRoundDelay { 40 };

// Covers retransmissions after both endpoints have finished.
constexpr std::chrono::milliseconds closedFlowLifetime { 2000 };

// The caller abandons a connection attempt 1.4 s after its first packet.
constexpr std::chrono::milliseconds openingLifetime { 1400 };

constexpr std::chrono::milliseconds sweepInterval { 1000 };

}

FlowSteering::FlowSteering(const HostDirectory& hostDirectory, FlowPlacement& flowPlacement, double linkBytesPerSecond)
    : directory(hostDirectory)
    , placement(flowPlacement)
    , searches(hostDirectory, flowPlacement, linkBytesPerSecond)
{
}

void FlowSteering::waitForAgent(Opening& opening, TimePoint now) const
{
    if (!opening.waiting) {
        opening.waiting = true;
        opening.deadline = now + agentWait;
    }
}

OpeningHistory FlowSteering::history(const Opening& opening, TimePoint now)
{
    const auto since
        = [](TimePoint from, TimePoint to) { return std::chrono::duration_cast<std::chrono::milliseconds>(to - from); };
    const FirstPacketTransmissions& transmissions = opening.transmissions;
    OpeningHistory history { transmissions.first(), transmissions.last(), transmissions.age(now),
        opening.possiblyOpen || !transmissions.isComplete(now), {} };
    history.offers.reserve(opening.offers.size());
    for (const Offer& offer : opening.offers) {
        history.offers.push_back(
            { offer.agent, offer.verdict, since(offer.sentAt, offer.verdict ? offer.verdictAt : now) });
    }
    return history;
}

std::vector<Endpoint> FlowSteering::agentsOffered(const Opening& opening)
{
    std::vector<Endpoint> agents;
    for (const Offer& offer : opening.offers) {
        if (std::find(agents.begin(), agents.end(), offer.agent) == agents.end()) {
            agents.push_back(offer.agent);
        }
    }
    return agents;
}

bool FlowSteering::isUnanswered(const Opening& opening)
{
    return !opening.offers.empty() && !opening.offers.back().verdict;
}

void FlowSteering::recordVerdict(Opening& opening, const Endpoint& agent, FlowVerdict verdict, TimePoint now)
{
    const auto offer = std::find_if(opening.offers.rbegin(), opening.offers.rend(),
        [&](const Offer& candidate) { return candidate.agent == agent; });
    if (offer != opening.offers.rend()) {
        offer->verdict = verdict;
        offer->verdictAt = now;
    }
}

bool FlowSteering::refuse(
    const FlowKey& key, Opening& opening, std::string_view reason, TimePoint now, std::vector<SteeringAction>& actions)
{
    if (!opening.possiblyOpen && opening.transmissions.isComplete(now)) {
        actions.emplace_back(SendReset { key, 0, reason, history(opening, now) });
        return false;
    }
    if (opening.transmissions.age(now) >= openingLifetime) {
        return false;
    }
    if (opening.refusedRounds == 0) {
        actions.emplace_back(WithholdReset { key, reason, history(opening, now) });
    }
    opening.exhausted = true;
    opening.waiting = false;
    opening.deadline
        = now + (isUnanswered(opening) ? openingLifetime : firstRoundDelay * (1U << opening.refusedRounds));
    ++opening.refusedRounds;
    return true;
}

std::optional<std::string> FlowSteering::selectService(
    const FlowRoute& route, const FlowKey& key, const Opening& opening, std::vector<SteeringAction>& actions) const
{
    const auto services = rankServices(route.target, key);
    if (services.empty()) {
        return std::nullopt;
    }
    const auto usable = std::find_if(services.begin(), services.end(),
        [this](std::string_view service) { return this->placement.hasUsableAgent(service); });
    const auto selected = usable == services.end() ? services.begin() : usable;
    if (selected != services.begin() && opening.offers.empty()) {
        actions.emplace_back(ReportSkippedService { key, std::string(services.front()), std::string(*selected) });
    }
    return std::string(*selected);
}

double FlowSteering::coldStartsPerSecond(const Endpoint& agent) const
{
    const auto& services = this->directory.routes().services;
    const auto limits = services.find(this->placement.serviceNameOf(agent));
    return limits == services.end() ? 0 : limits->second.coldStartsPerSecond;
}

bool FlowSteering::place(const FlowKey& key, Opening& opening, TimePoint now, std::vector<SteeringAction>& actions)
{
    if (!this->directory.hasRoutes()) {
        this->waitForAgent(opening, now);
        return true;
    }
    const FlowRoute* route = this->directory.route(key.service);
    if (route == nullptr) {
        return this->refuse(key, opening, "no_route", now, actions);
    }
    const auto service = this->selectService(*route, key, opening, actions);
    if (!service) {
        return this->refuse(key, opening, "no_service", now, actions);
    }
    // Instead of a reset, after which the caller would have returned with a new flow, the flow gets one round of offers
    // on the terms of a new flow. Further rounds on these terms would displace flows that can still be in time.
    const auto age = opening.refusedRounds == 1 ? std::chrono::milliseconds(0) : opening.transmissions.age(now);
    auto urgency = FlowUrgency::InTime;
    auto limit = waitLimit(*route, urgency, age);
    auto choice = this->placement.choose(*service, key, urgency, opening.tried, now);
    if (choice && (limit.count() < 0 || choice->expectedWait > limit)) {
        urgency = FlowUrgency::Late;
        limit = waitLimit(*route, urgency, age);
        choice = this->placement.choose(*service, key, urgency, opening.tried, now);
    }
    if (!choice) {
        if (this->placement.isEvacuated(*service)) {
            return this->refuse(key, opening, "evacuated", now, actions);
        }
        if (opening.tried.empty()) {
            this->waitForAgent(opening, now);
            return true;
        }
        return this->refuse(key, opening, "all_refused", now, actions);
    }
    if (limit.count() < 0 || choice->expectedWait > limit || opening.tried.size() >= maxAgentsTried) {
        return this->refuse(key, opening, "no_slot_in_time", now, actions);
    }
    opening.waiting = false;
    opening.tried.push_back(choice->agent);
    opening.offers.push_back({ choice->agent, serviceHash(*service), now, std::nullopt, {} });
    opening.deadline = now + verdictTimeout;
    this->placement.recordFlowSent(choice->agent);
    actions.emplace_back(SteerPacket { choice->agent, SteeringPurpose::NewFlow, serviceHash(*service), limit,
        route->priority, urgency, choice->slots, choice->expectedWait, choice->loadAge, opening.datagram,
        choice->coldRemaining, this->coldStartsPerSecond(choice->agent) });
    return true;
}

bool FlowSteering::placeAgain(const FlowKey& key, Opening& opening, TimePoint now, std::vector<SteeringAction>& actions)
{
    opening.exhausted = false;
    opening.tried.clear();
    return this->place(key, opening, now, actions);
}

void FlowSteering::askLastAgentAgain(const FlowKey& key, const Opening& opening, std::span<const std::uint8_t> datagram,
    TimePoint now, std::vector<SteeringAction>& actions) const
{
    if (const FlowRoute* route = this->directory.route(key.service)) {
        const auto limit = waitLimit(*route, FlowUrgency::Late, opening.transmissions.age(now));
        actions.emplace_back(SteerPacket { opening.offers.back().agent, SteeringPurpose::NewFlow,
            opening.offers.back().service, std::max(std::chrono::milliseconds(0), limit), route->priority,
            FlowUrgency::Late, 0, {}, {}, datagram, this->placement.coldRemaining(opening.offers.back().agent, now),
            this->coldStartsPerSecond(opening.offers.back().agent) });
    }
}

void FlowSteering::reopen(Flows::iterator flow, const FlowPacket& packet, std::span<const std::uint8_t> datagram,
    TimePoint now, std::vector<SteeringAction>& actions)
{
    const FlowKey key = flow->first;
    Opening opening = flow->second.opening ? std::move(*flow->second.opening) : Opening();
    this->flows.erase(flow);
    opening.possiblyOpen = true;
    opening.transmissions.record(packet.acknowledgement, now);
    opening.datagram.assign(datagram.begin(), datagram.end());
    Opening& entry = this->openings.insert_or_assign(key, std::move(opening)).first->second;
    if (!this->placeAgain(key, entry, now, actions)) {
        this->openings.erase(key);
    }
}

void FlowSteering::handleFirstPacket(const FlowPacket& packet, std::span<const std::uint8_t> datagram, TimePoint now,
    std::vector<SteeringAction>& actions)
{
    const FlowKey key = packet.keyFromCaller();
    const auto flow = this->flows.find(key);
    if (flow != this->flows.end()) {
        flow->second.lastPacket = now;
        if (flow->second.opening) {
            flow->second.opening->transmissions.record(packet.acknowledgement, now);
        }
        // The backend server's answer was lost or the flow still waits for a slot: forward the retransmission to the
        // owner.
        if (flow->second.owners.size() == 1 && !this->placement.isSilent(flow->second.owners.front())) {
            const FlowRoute* route = this->directory.route(key.service);
            const auto limit = route == nullptr
                ? std::chrono::milliseconds(0)
                : std::max(std::chrono::milliseconds(0),
                    waitLimit(*route, FlowUrgency::Late, FirstPacketTransmissions::ageOf(packet.acknowledgement)));
            actions.emplace_back(SteerPacket { flow->second.owners.front(), SteeringPurpose::NewFlow,
                flow->second.service, limit, 0, FlowUrgency::Late, 0, {}, {}, datagram,
                this->placement.coldRemaining(flow->second.owners.front(), now),
                this->coldStartsPerSecond(flow->second.owners.front()) });
            return;
        }
        if (flow->second.opened && !flow->second.closing) {
            return; // a late copy: the caller has accepted an answer, and the owner is being searched
        }
        if (!flow->second.opened) {
            this->reopen(flow, packet, datagram, now, actions);
            return;
        }
        this->searches.finish(key);
        this->flows.erase(flow); // the caller uses the port of a flow that has ended for a new one
    }
    const auto opening = this->openings.find(key);
    if (opening == this->openings.end() && this->openings.size() >= maxOpenings) {
        Opening rejected;
        rejected.transmissions.record(packet.acknowledgement, now);
        this->refuse(key, rejected, "too_many_openings", now, actions);
        return;
    }
    Opening& entry = this->openings[key];
    entry.transmissions.record(packet.acknowledgement, now);
    if (!entry.datagram.empty() && !entry.waiting && !entry.exhausted) {
        return; // the verdict on the earlier transmission is outstanding; after its timeout tick() tries another agent
    }
    if (entry.exhausted && isUnanswered(entry)) {
        this->askLastAgentAgain(key, entry, datagram, now, actions);
        return;
    }
    entry.datagram.assign(datagram.begin(), datagram.end());
    if (!this->placeAgain(key, entry, now, actions)) {
        this->openings.erase(key);
    }
}

void FlowSteering::markOpened(Flow& flow)
{
    flow.opened = true;
    if (!flow.opening) {
        return;
    }
    flow.candidates = agentsOffered(*flow.opening);
    if (flow.candidates.size() != 1) {
        flow.owners.clear(); // until an agent confirms that it owns the flow
    }
    flow.opening.reset();
}

void FlowSteering::handleLaterPacket(const FlowPacket& packet, std::span<const std::uint8_t> datagram, TimePoint now,
    std::vector<SteeringAction>& actions)
{
    const FlowKey key = packet.keyFromCaller();
    const FlowRoute* route = this->directory.route(key.service);
    const auto found = this->flows.find(key);
    const bool owned = found != this->flows.end() && !found->second.owners.empty();
    if (route == nullptr && this->directory.isRemovedRoute(key.service)) {
        actions.emplace_back(SendReset { key, packet.acknowledgement, "route_removed" });
        this->searches.finish(key);
        this->flows.erase(key);
        return;
    }
    if (route == nullptr && !owned) {
        return; // another balancer may have a newer configuration with a route to the address
    }
    Flow& flow = this->flows[key];
    if (const auto opening = this->openings.extract(key)) {
        flow.opening = std::move(opening.mapped());
    }
    flow.lastPacket = now;
    flow.lastAcknowledgement = packet.acknowledgement;
    flow.closing = flow.closing || packet.finishes || packet.resets;
    if (!flow.opened) {
        markOpened(flow);
    }
    if (!flow.owners.empty()) {
        actions.emplace_back(SteerPacket { flow.owners.front(), SteeringPurpose::KnownFlow, flow.service, {}, 0,
            FlowUrgency::InTime, 0, {}, {}, datagram });
    } else if (route != nullptr) {
        this->searches.search(key, packet.acknowledges ? std::optional(packet.acknowledgement) : std::nullopt,
            flow.candidates, { datagram, !packet.payload.empty() }, now, actions);
    }
}

void FlowSteering::handlePacket(const FlowPacket& packet, std::span<const std::uint8_t> datagram, TimePoint now,
    std::vector<SteeringAction>& actions)
{
    if (packet.isFirst()) {
        this->handleFirstPacket(packet, datagram, now, actions);
    } else {
        this->handleLaterPacket(packet, datagram, now, actions);
    }
}

void FlowSteering::placeOrErase(Openings::iterator opening, TimePoint now, std::vector<SteeringAction>& actions)
{
    if (!this->place(opening->first, opening->second, now, actions)) {
        this->openings.erase(opening);
    }
}

FlowSteering::Flow& FlowSteering::flowOf(const FlowKey& key, const Endpoint& agent, TimePoint now)
{
    Flow& flow = this->flows[key];
    flow.lastPacket = now;
    if (const std::uint64_t service = this->placement.serviceOf(agent); service != 0) {
        flow.service = service;
    }
    return flow;
}

void FlowSteering::handleAdmitted(const Endpoint& agent, const FlowKey& key, TimePoint now)
{
    const auto opening = this->openings.find(key);
    const auto known = this->flows.find(key);
    const bool open = known != this->flows.end() && !known->second.opening;
    if (open) {
        return; // late verdict on an earlier offer; the flow is already open, possibly at another agent
    }
    Flow& flow = this->flowOf(key, agent, now);
    if (std::find(flow.owners.begin(), flow.owners.end(), agent) == flow.owners.end()) {
        flow.owners.push_back(agent);
    }
    if (opening == this->openings.end()) {
        return;
    }
    const auto& tried = opening->second.tried;
    recordVerdict(opening->second, agent, FlowVerdict::Admitted, now);
    if (!opening->second.waiting && !tried.empty() && tried.back() == agent) {
        this->placement.recordVerdict(agent);
    }
    flow.opening = std::move(opening->second);
    this->openings.erase(opening);
}

void FlowSteering::handleOwned(
    const Endpoint& agent, const FlowKey& key, TimePoint now, std::vector<SteeringAction>& actions)
{
    this->openings.erase(key);
    Flow& flow = this->flowOf(key, agent, now);
    flow.owners.assign(1, agent);
    flow.opened = true;
    flow.opening.reset();
    for (auto& packet : this->searches.finish(key)) {
        const auto& released = this->releasedPackets.emplace_back(std::move(packet));
        actions.emplace_back(SteerPacket {
            agent, SteeringPurpose::KnownFlow, flow.service, {}, 0, FlowUrgency::InTime, 0, {}, {}, released });
    }
}

void FlowSteering::handleNotOwned(
    const Endpoint& agent, const FlowKey& key, FlowVerdict verdict, TimePoint now, std::vector<SteeringAction>& actions)
{
    const auto opening = this->openings.find(key);
    if (opening != this->openings.end()) {
        const auto& tried = opening->second.tried;
        recordVerdict(opening->second, agent, verdict, now);
        opening->second.possiblyOpen = opening->second.possiblyOpen || verdict == FlowVerdict::RefusedByBackendServer;
        if (!opening->second.waiting && !opening->second.exhausted && !tried.empty() && tried.back() == agent) {
            this->placement.recordVerdict(agent);
            this->placeOrErase(opening, now, actions);
        } else if (opening->second.exhausted) {
            opening->second.deadline = std::min(opening->second.deadline, now + firstRoundDelay);
        }
        return;
    }
    // A late refusal of an offer does not say that the backend server does not hold the flow.
    if (verdict == FlowVerdict::NotFound || verdict == FlowVerdict::MayHold || verdict == FlowVerdict::Lost) {
        this->searches.handleAnswer(agent, key, verdict, now, actions);
    }
    const auto found = this->flows.find(key);
    if (found == this->flows.end() || std::erase(found->second.owners, agent) == 0 || !found->second.owners.empty()) {
        return;
    }
    Flow& flow = found->second;
    flow.candidates.clear();
    if (flow.opening && !flow.opened) {
        // The agent admitted the flow, but its backend server has not answered: another agent may take it.
        const auto placed = this->openings.insert_or_assign(key, std::move(*flow.opening)).first;
        recordVerdict(placed->second, agent, verdict, now);
        placed->second.possiblyOpen = placed->second.possiblyOpen || verdict == FlowVerdict::RefusedByBackendServer;
        this->flows.erase(found);
        this->placeOrErase(placed, now, actions);
        return;
    }
    if (verdict == FlowVerdict::Lost) {
        actions.emplace_back(SendReset { key, flow.lastAcknowledgement, "lost_by_backend_server" });
        this->flows.erase(found);
    }
}

void FlowSteering::handleVerdict(
    const Endpoint& agent, const FlowKey& key, FlowVerdict verdict, TimePoint now, std::vector<SteeringAction>& actions)
{
    this->releasedPackets.clear();
    if (verdict == FlowVerdict::Admitted) {
        this->handleAdmitted(agent, key, now);
    } else if (verdict == FlowVerdict::Owned) {
        this->handleOwned(agent, key, now, actions);
    } else {
        this->handleNotOwned(agent, key, verdict, now, actions);
    }
}

void FlowSteering::retryWaiting(TimePoint now, std::vector<SteeringAction>& actions)
{
    for (auto opening = this->openings.begin(); opening != this->openings.end();) {
        const bool keep = !opening->second.waiting || this->place(opening->first, opening->second, now, actions);
        opening = keep ? std::next(opening) : this->openings.erase(opening);
    }
}

void FlowSteering::tick(TimePoint now, std::vector<SteeringAction>& actions)
{
    for (auto opening = this->openings.begin(); opening != this->openings.end();) {
        if (opening->second.deadline > now) {
            ++opening;
            continue;
        }
        bool keep = false;
        if (opening->second.waiting) {
            keep = this->refuse(opening->first, opening->second, "no_agent", now, actions);
        } else if (opening->second.exhausted) {
            keep = !isUnanswered(opening->second) && opening->second.transmissions.age(now) < openingLifetime
                && this->placeAgain(opening->first, opening->second, now, actions);
        } else {
            opening->second.possiblyOpen = true;
            this->placement.recordVerdictTimeout(opening->second.tried.back());
            keep = this->place(opening->first, opening->second, now, actions);
        }
        opening = keep ? std::next(opening) : this->openings.erase(opening);
    }
    this->searches.tick(now, actions);
    if (now < this->nextSweep) {
        return;
    }
    this->nextSweep = now + sweepInterval;
    const auto idleLimit = this->directory.routes().idleTimeout;
    std::erase_if(this->flows, [&](const auto& item) {
        const auto idle = now - item.second.lastPacket;
        return idle > idleLimit || (item.second.closing && idle > closedFlowLifetime);
    });
}

FlowSteering::TimePoint FlowSteering::nextTick() const
{
    TimePoint next = std::min(this->nextSweep, this->searches.nextTick());
    for (const auto& [key, opening] : this->openings) {
        next = std::min(next, opening.deadline);
    }
    return next;
}

}
