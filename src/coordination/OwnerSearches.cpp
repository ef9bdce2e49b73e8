#include "coordination/OwnerSearches.h"

#include "coordination/FlowPlacement.h"
#include "coordination/ServiceSplit.h"
#include "state/HostDirectory.h"

#include <algorithm>
#include <utility>

namespace chicoryferry {

namespace {

using std::chrono::milliseconds;

// An agent answers within a round trip of at most 4 ms plus its scheduling delay and the queue of a slow link. Three
// stages in which agents are asked twice end before the caller repeats its packet after 200 ms.
constexpr milliseconds answerTimeout { 30 };

// A backend server returns a packet of a flow that it does not hold within a millisecond.
constexpr milliseconds trialTimeout { 40 };

// The only agent whose backend server has not returned a packet on trial probably serves the request. The users'
// longest requests take 180 ms.
constexpr milliseconds singleTrialTimeout { 300 };

// Packets on trial are whole packets of up to 1,300 bytes, so they go to a few agents at a time.
constexpr std::size_t trialsAtOnce = 4;

// A caller has at most 16 packets in flight; four more cover repetitions.
constexpr std::size_t maximumWaitingPackets = 20;

// Bounds the memory used for waiting packets: below a hundredth of that of the smallest machine (64 MB).
constexpr std::size_t maximumWaitingBytes = 524'288;

OwnerSearch::Stage nextStage(OwnerSearch::Stage stage)
{
    switch (stage) {
    case OwnerSearch::Stage::Offered:
        return OwnerSearch::Stage::Nearest;
    case OwnerSearch::Stage::Nearest:
        return OwnerSearch::Stage::EachZone;
    case OwnerSearch::Stage::EachZone:
        return OwnerSearch::Stage::All;
    case OwnerSearch::Stage::All:
        break;
    }
    return OwnerSearch::Stage::All;
}

}

OwnerSearches::OwnerSearches(
    const HostDirectory& hostDirectory, const FlowPlacement& flowPlacement, double linkBytesPerSecond)
    : directory(hostDirectory)
    , placement(flowPlacement)
    , budget(linkBytesPerSecond)
{
}

bool OwnerSearches::keep(Search& search, const Packet& packet)
{
    const auto& datagram = packet.datagram;
    if (search.waiting.size() >= maximumWaitingPackets || this->waitingBytes + datagram.size() > maximumWaitingBytes) {
        return false; // the caller repeats the packet
    }
    if (packet.carriesData && !search.hasData) {
        search.hasData = true;
        search.trialPacket = search.waiting.size();
    }
    search.waiting.emplace_back(datagram.begin(), datagram.end());
    this->waitingBytes += datagram.size();
    return true;
}

void OwnerSearches::unschedule(const FlowKey& key, const Search& search)
{
    const auto [begin, end] = this->schedule.equal_range(search.due);
    const auto entry = std::find_if(begin, end, [&](const auto& item) { return item.second == key; });
    if (entry != end) {
        this->schedule.erase(entry);
    }
}

void OwnerSearches::reschedule(const FlowKey& key, Search& search)
{
    this->unschedule(key, search);
    search.due = search.agents.deadline();
    this->schedule.emplace(search.due, key);
}

void OwnerSearches::erase(Searches::iterator search)
{
    for (const auto& packet : search->second.waiting) {
        this->waitingBytes -= packet.size();
    }
    this->unschedule(search->first, search->second);
    this->searches.erase(search);
}

void OwnerSearches::search(const FlowKey& key, std::optional<std::uint32_t> acknowledgement,
    std::span<const Endpoint> offered, const Packet& packet, TimePoint now, std::vector<SteeringAction>& actions)
{
    const auto [search, added] = this->searches.try_emplace(key);
    const bool hadData = search->second.hasData;
    const bool kept = this->keep(search->second, packet);
    search->second.acknowledgement = acknowledgement;
    if (!added) {
        // A backend server need not answer a packet without data that is delivered on trial.
        if (kept && packet.carriesData && !hadData) {
            this->sendOnTrial(search->second.waiting.back(), search->second.agents.onTrial(), actions);
        }
        return;
    }
    search->second.agents.enter(OwnerSearch::Stage::Offered, now);
    if (!offered.empty()) {
        search->second.agents.ask(offered, now + answerTimeout);
        this->ask(key, search->second, { offered.begin(), offered.end() }, actions);
    }
    this->advance(search, now, actions);
}

void OwnerSearches::ask(
    const FlowKey& key, Search& search, std::vector<Endpoint> agents, std::vector<SteeringAction>& actions)
{
    actions.emplace_back(AskAgents { std::move(agents), { key, search.acknowledgement }, search.agents.stage() });
    this->reschedule(key, search);
}

std::vector<Endpoint> OwnerSearches::agentsOfStage(OwnerSearch::Stage stage, const FlowKey& key) const
{
    if (stage == OwnerSearch::Stage::All) {
        return this->placement.agents();
    }
    const FlowRoute* route = this->directory.route(key.service);
    if (route == nullptr) {
        return {};
    }
    // Another balancer usually selected the same service. It selected another one if that had no usable agent.
    const auto services = rankServices(route->target, key);
    if (stage == OwnerSearch::Stage::Nearest) {
        return services.empty() ? std::vector<Endpoint>() : this->placement.likelyOwners(services.front(), key);
    }
    std::vector<Endpoint> agents;
    for (const std::string_view service : services) {
        const auto ofService = this->placement.likelyOwnersOfEachZone(service, key);
        agents.insert(agents.end(), ofService.begin(), ofService.end());
    }
    return agents;
}

bool OwnerSearches::startTrials(const FlowKey& key, Search& search, TimePoint now, std::vector<SteeringAction>& actions)
{
    if (search.waiting.empty()) {
        return false;
    }
    // Likely owners are few; the others are as many as the fleet has agents.
    if (search.agents.stage() == OwnerSearch::Stage::All && search.agents.hasUncertain()
        && !this->budget.takeBytes(
            static_cast<double>(trialsAtOnce * search.waiting[search.trialPacket].size()), now)) {
        return false;
    }
    const auto agents = search.agents.startTrials(trialsAtOnce, now + trialTimeout);
    if (agents.empty()) {
        return false;
    }
    search.agents.extendSingleTrial(now + singleTrialTimeout);
    this->sendOnTrial(search.waiting[search.trialPacket], agents, actions);
    this->reschedule(key, search);
    return true;
}

void OwnerSearches::sendOnTrial(
    const std::vector<std::uint8_t>& packet, const std::vector<Endpoint>& agents, std::vector<SteeringAction>& actions)
{
    if (agents.empty()) {
        return;
    }
    const auto& copy = this->deliveredOnTrial.emplace_back(packet);
    for (const Endpoint& agent : agents) {
        actions.emplace_back(SteerPacket { agent, SteeringPurpose::Recover, this->placement.serviceOf(agent), {}, 0,
            FlowUrgency::InTime, 0, {}, {}, copy });
    }
}

void OwnerSearches::giveUp(Searches::iterator search, std::string_view reason, std::vector<SteeringAction>& actions)
{
    const FlowKey key = search->first;
    // The flow may be at a host that this process has not read yet.
    const auto agents = this->placement.agents();
    if (this->directory.isCurrent() && !agents.empty() && search->second.agents.isAbsentFrom(agents)) {
        // Without the reset, the caller would wait for an answer until its deadline.
        actions.emplace_back(SendReset { key, search->second.acknowledgement.value_or(0), "not_found" });
    } else {
        actions.emplace_back(ReportFailedSearch { key, reason });
    }
    this->erase(search);
}

void OwnerSearches::advance(Searches::iterator search, TimePoint now, std::vector<SteeringAction>& actions)
{
    const FlowKey key = search->first;
    Search& state = search->second;
    while (state.agents.isStepComplete(now)) {
        // A lost question or answer of the owner must not lead to packets on trial at other agents.
        if (auto agents = state.agents.askAgain(now + answerTimeout); !agents.empty()) {
            this->ask(key, state, std::move(agents), actions);
            return;
        }
        if (this->startTrials(key, state, now, actions)) {
            return;
        }
        if (state.agents.stage() == OwnerSearch::Stage::All) {
            this->giveUp(
                search, state.agents.hasUncertain() ? "search_budget_exhausted" : "agents_unanswered", actions);
            return;
        }
        const auto stage = nextStage(state.agents.stage());
        auto agents = state.agents.unasked(this->agentsOfStage(stage, key));
        if (stage == OwnerSearch::Stage::All && !agents.empty() && !this->budget.take(agents.size(), now)) {
            this->giveUp(search, "search_budget_exhausted", actions);
            return;
        }
        state.agents.enter(stage, now);
        if (!agents.empty()) {
            state.agents.ask(agents, now + answerTimeout);
            this->ask(key, state, std::move(agents), actions);
            return;
        }
    }
}

void OwnerSearches::handleAnswer(
    const Endpoint& agent, const FlowKey& key, FlowVerdict verdict, TimePoint now, std::vector<SteeringAction>& actions)
{
    const auto search = this->searches.find(key);
    if (search == this->searches.end()) {
        return;
    }
    if (verdict == FlowVerdict::MayHold) {
        search->second.agents.recordUncertainty(agent);
    } else {
        search->second.agents.recordAbsence(agent);
    }
    if (search->second.agents.extendSingleTrial(now + singleTrialTimeout)) {
        this->reschedule(key, search->second);
    }
    this->advance(search, now, actions);
}

std::vector<std::vector<std::uint8_t>> OwnerSearches::finish(const FlowKey& key)
{
    const auto search = this->searches.find(key);
    if (search == this->searches.end()) {
        return {};
    }
    auto packets = std::exchange(search->second.waiting, {});
    for (const auto& packet : packets) {
        this->waitingBytes -= packet.size();
    }
    this->erase(search);
    return packets;
}

void OwnerSearches::tick(TimePoint now, std::vector<SteeringAction>& actions)
{
    this->deliveredOnTrial.clear();
    while (!this->schedule.empty() && this->schedule.begin()->first <= now) {
        const auto search = this->searches.find(this->schedule.begin()->second);
        if (search == this->searches.end()) {
            this->schedule.erase(this->schedule.begin());
            continue;
        }
        this->advance(search, now, actions);
    }
}

}
