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

// A search without an answer for this time is widened: its first packet is sent to more agents. The time is below the
// 200 ms after which the caller repeats a packet, so that a repetition is sent to them, too.
constexpr std::chrono::milliseconds searchTimeout { 150 };

// The same for a flow that only the agents asked can have, as far as this balancer knows: its first packet may have
// been queued here for longer than the caller waits before it retransmits. The users' rules allow 2 s.
constexpr std::chrono::milliseconds completeSearchTimeout { 1000 };

// Bounds the memory used for packets of flows that are searched; each takes up to 1,300 bytes. A further search is
// widened when its caller repeats the packet, which takes up to 1.6 s.
constexpr std::size_t maxPendingSearches = 512;

// Covers retransmissions after both endpoints have finished.
constexpr std::chrono::milliseconds closedFlowLifetime { 2000 };

// The caller abandons a connection attempt 1.4 s after its first packet.
constexpr std::chrono::milliseconds openingLifetime { 1400 };

constexpr std::chrono::milliseconds sweepInterval { 1000 };

}

FlowSteering::FlowSteering(const HostDirectory& hostDirectory, FlowPlacement& flowPlacement)
    : directory(hostDirectory)
    , placement(flowPlacement)
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
    auto choice = this->placement.choose(*service, urgency, opening.tried, now);
    if (choice && (limit.count() < 0 || choice->expectedWait > limit)) {
        urgency = FlowUrgency::Late;
        limit = waitLimit(*route, urgency, age);
        choice = this->placement.choose(*service, urgency, opening.tried, now);
    }
    if (!choice) {
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
        route->priority, urgency, choice->slots, choice->expectedWait, choice->loadAge, opening.datagram });
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
            FlowUrgency::Late, 0, {}, {}, datagram });
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
                flow->second.service, limit, 0, FlowUrgency::Late, 0, {}, {}, datagram });
            return;
        }
        if (flow->second.opened && !flow->second.closing) {
            return; // a late copy: the caller has accepted an answer, and the owner is being searched
        }
        if (!flow->second.opened) {
            this->reopen(flow, packet, datagram, now, actions);
            return;
        }
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

void FlowSteering::markOpened(Flow& flow, TimePoint now)
{
    flow.opened = true;
    if (!flow.opening) {
        return;
    }
    flow.candidates = agentsOffered(*flow.opening);
    flow.candidatesComplete = flow.opening->transmissions.isComplete(now);
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
        markOpened(flow, now);
    }
    if (!flow.owners.empty()) {
        actions.emplace_back(SteerPacket { flow.owners.front(), SteeringPurpose::KnownFlow, flow.service, {}, 0,
            FlowUrgency::InTime, 0, {}, {}, datagram });
    } else if (route != nullptr) {
        this->search(key, flow, *route, datagram, now, actions);
    }
}

std::vector<Endpoint> FlowSteering::searchedAgents(
    const FlowKey& key, const Flow& flow, const FlowRoute& route, TimePoint now) const
{
    // A search at every agent costs as many packets as there are agents, so it is left to flows that another balancer
    // may have placed. Otherwise searches overload a slow link as soon as it delays the answers of the agents asked.
    const auto searched = now - *flow.searchedSince;
    if (!flow.candidates.empty() && searched < (flow.candidatesComplete ? completeSearchTimeout : searchTimeout)) {
        return flow.candidates;
    }
    // The other balancer usually selected the same service. It selected another one if that had no usable agent, or
    // under an earlier configuration.
    const auto services = rankServices(route.target, key);
    return searched >= searchTimeout || services.empty() ? this->placement.agents()
                                                         : this->placement.agentsOf(services.front());
}

void FlowSteering::startSearch(const FlowKey& key, Flow& flow, std::span<const std::uint8_t> datagram, TimePoint now)
{
    flow.searchedSince = now;
    if (this->pendingSearches.size() < maxPendingSearches) {
        flow.searchedDatagram.assign(datagram.begin(), datagram.end());
        this->pendingSearches.push_back({ now + searchTimeout, key });
    }
}

void FlowSteering::widenSearches(TimePoint now, std::vector<SteeringAction>& actions)
{
    this->widenedDatagrams.clear();
    while (!this->pendingSearches.empty() && this->pendingSearches.front().due <= now) {
        const FlowKey key = this->pendingSearches.front().flow;
        this->pendingSearches.pop_front();
        const auto flow = this->flows.find(key);
        if (flow == this->flows.end() || flow->second.searchedDatagram.empty()) {
            continue;
        }
        const auto& datagram = this->widenedDatagrams.emplace_back(std::move(flow->second.searchedDatagram));
        flow->second.searchedDatagram.clear();
        const FlowRoute* route = this->directory.route(key.service);
        if (route != nullptr && flow->second.searchedSince && flow->second.owners.empty()) {
            this->search(key, flow->second, *route, datagram, now, actions);
        }
    }
}

void FlowSteering::search(const FlowKey& key, Flow& flow, const FlowRoute& route,
    std::span<const std::uint8_t> datagram, TimePoint now, std::vector<SteeringAction>& actions)
{
    if (!flow.searchedSince) {
        this->startSearch(key, flow, datagram, now);
    }
    const bool unanswered = now - *flow.searchedSince >= searchTimeout;
    const auto purpose = unanswered ? SteeringPurpose::Recover : SteeringPurpose::Search;
    for (const Endpoint& agent : this->searchedAgents(key, flow, route, now)) {
        actions.emplace_back(SteerPacket {
            agent, purpose, this->placement.serviceOf(agent), {}, 0, FlowUrgency::InTime, 0, {}, {}, datagram });
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

void FlowSteering::handleOwned(const Endpoint& agent, const FlowKey& key, TimePoint now)
{
    this->openings.erase(key);
    Flow& flow = this->flowOf(key, agent, now);
    flow.owners.assign(1, agent);
    flow.opened = true;
    flow.opening.reset();
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
    const auto found = this->flows.find(key);
    if (found != this->flows.end() && verdict == FlowVerdict::NotFound && found->second.searchedSince
        && found->second.owners.empty()) {
        this->handleNotFound(agent, found, now, actions);
        return;
    }
    if (found == this->flows.end() || std::erase(found->second.owners, agent) == 0 || !found->second.owners.empty()) {
        return;
    }
    Flow& flow = found->second;
    flow.candidates.clear();
    flow.searchedSince.reset();
    flow.agentsWithout.clear();
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

void FlowSteering::handleNotFound(
    const Endpoint& agent, Flows::iterator found, TimePoint now, std::vector<SteeringAction>& actions)
{
    Flow& flow = found->second;
    if (std::find(flow.agentsWithout.begin(), flow.agentsWithout.end(), agent) == flow.agentsWithout.end()) {
        flow.agentsWithout.push_back(agent);
    }
    // The flow may be at a host that this process has not read yet, or that another balancer has learned of just now.
    if (!this->directory.isComplete() || now - *flow.searchedSince < searchTimeout) {
        return;
    }
    const auto agents = this->placement.agents();
    const bool nowhere = std::all_of(agents.begin(), agents.end(), [&](const Endpoint& known) {
        return std::find(flow.agentsWithout.begin(), flow.agentsWithout.end(), known) != flow.agentsWithout.end();
    });
    if (nowhere) {
        // Without the reset, the caller would wait for an answer until its deadline.
        actions.emplace_back(SendReset { found->first, flow.lastAcknowledgement, "not_found" });
        this->flows.erase(found);
    }
}

void FlowSteering::handleVerdict(
    const Endpoint& agent, const FlowKey& key, FlowVerdict verdict, TimePoint now, std::vector<SteeringAction>& actions)
{
    if (verdict == FlowVerdict::Admitted) {
        this->handleAdmitted(agent, key, now);
    } else if (verdict == FlowVerdict::Owned) {
        this->handleOwned(agent, key, now);
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
    this->widenSearches(now, actions);
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
    TimePoint next = this->pendingSearches.empty() ? this->nextSweep
                                                   : std::min(this->nextSweep, this->pendingSearches.front().due);
    for (const auto& [key, opening] : this->openings) {
        next = std::min(next, opening.deadline);
    }
    return next;
}

}
