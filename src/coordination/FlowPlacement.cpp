#include "coordination/FlowPlacement.h"

#include "coordination/HelloInterval.h"

#include <algorithm>
#include <xxhash.h>

namespace chicoryferry {

namespace {

using std::chrono::milliseconds;

// Additional work time of a recently started backend server as a fraction of the mean: requests take 1.6 times as long
// according to the users' site files.
constexpr double coldSlowdown = 0.6;

// A packet to another availability zone takes up to 1 ms longer in each direction, and its traffic is billed. A free
// slot in the own zone is preferred to a free slot in another one, but a shorter wait takes precedence.
constexpr double otherZoneCostMs = 1.0;

// Reports are up to 10 ms old, so a host with a higher reported occupancy is more likely to be full by now.
constexpr double occupancyCostMs = 4.0;

// Random cost that spreads the choices of several balancers over equally suitable agents.
constexpr double jitterCostMs = 0.5;

// Agents whose load is unknown or whose last verdict timed out are ranked behind all others.
constexpr double unknownCostMs = 200.0;
constexpr double silentCostMs = 10000.0;

// Candidates of a flow in the own availability zone and in the others. With four in each, all slots of a service that
// is half used are taken at every candidate for about one flow in 10,000, and the first choice of a flow remains among
// few agents that another balancer can ask.
constexpr std::size_t candidatesNearAndFar = 4;

// Agents asked for a flow are more than those at which it is placed, because agents have joined since, and because
// draining agents are ranked here but not at the placement.
constexpr std::size_t likelyOwnersNearAndFar = 6;

double inMilliseconds(std::chrono::microseconds duration) { return static_cast<double>(duration.count()) / 1000.0; }

}

std::uint64_t serviceHash(std::string_view service) { return XXH3_64bits(service.data(), service.size()); }

FlowPlacement::FlowPlacement(std::string zone, std::uint64_t seed)
    : availabilityZone(std::move(zone))
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
}

std::chrono::milliseconds FlowPlacement::State::coldRemaining(TimePoint now) const
{
    const auto until = this->entries[this->selected].learnedAt + this->host().coldRemaining;
    return std::max(milliseconds(0), std::chrono::ceil<milliseconds>(until - now));
}

bool FlowPlacement::hasEntryFor(const State& state, std::string_view service)
{
    return std::any_of(
        state.entries.begin(), state.entries.end(), [&](const Agent& entry) { return entry.host.service == service; });
}

bool FlowPlacement::selectEntry(State& state)
{
    const std::string previous = state.host().service;
    const auto reported = std::find_if(state.entries.begin(), state.entries.end(),
        [&](const Agent& entry) { return state.reported && serviceHash(entry.host.service) == state.load.service; });
    state.selected = reported == state.entries.end()
        ? 0
        : static_cast<std::size_t>(std::distance(state.entries.begin(), reported));
    // An entry of another writer that is newer than that of a draining host must not return the host to use.
    state.draining = std::any_of(state.entries.begin(), state.entries.end(),
        [&](const Agent& entry) { return entry.host.draining && entry.host.service == state.host().service; });
    return state.host().service != previous;
}

void FlowPlacement::recordSelection(const Endpoint& agent, const State& state)
{
    this->selections.push_back({ agent, state.host().id, state.host().service, state.entries.size(),
        state.reported && serviceHash(state.host().service) == state.load.service });
}

void FlowPlacement::indexServices()
{
    this->byService.clear();
    for (const auto& [address, state] : this->states) {
        this->byService[state.host().service].add(address, state.host().availabilityZone);
    }
}

bool FlowPlacement::setAgents(const std::vector<Agent>& agents, TimePoint now)
{
    std::map<Endpoint, State> next;
    for (const Agent& agent : agents) {
        Agent& entry = next[agent.address].entries.emplace_back(agent);
        entry.learnedAt = std::min(agent.learnedAt, now);
    }
    bool reportNeeded = false;
    for (auto& [address, state] : next) {
        const auto found = this->states.find(address);
        const State* const known = found == this->states.end() ? nullptr : &found->second;
        reportNeeded = reportNeeded || known == nullptr
            || std::any_of(state.entries.begin(), state.entries.end(),
                [&](const Agent& entry) { return !hasEntryFor(*known, entry.host.service); });
        if (known != nullptr) {
            State carried = *known;
            carried.entries = state.entries;
            carried.selected = 0;
            selectEntry(carried);
            if (carried.host().service == known->host().service) {
                state = std::move(carried);
            }
        }
        selectEntry(state);
        if (state.entries.size() > 1
            && (known == nullptr || known->entries.size() != state.entries.size()
                || known->host().id != state.host().id)) {
            this->recordSelection(address, state);
        }
    }
    this->states = std::move(next);
    this->indexServices();
    return reportNeeded;
}

bool FlowPlacement::report(const Endpoint& agent, const AgentLoad& load, TimePoint now)
{
    const auto found = this->states.find(agent);
    if (found == this->states.end()) {
        return false;
    }
    State& state = found->second;
    if (state.reported && state.load.incarnation == load.incarnation && load.sequence <= state.load.sequence) {
        return false;
    }
    if (state.load.incarnation != load.incarnation) {
        state.unanswered = 0;
    }
    state.load = load;
    state.reportedAt = now;
    state.reported = true;
    state.silent = false;
    if (state.entries.size() > 1 && selectEntry(state)) {
        this->recordSelection(agent, state);
        this->indexServices();
    }
    return true;
}

CandidateLoad FlowPlacement::describe(const State& state, FlowUrgency urgency, TimePoint now) const
{
    CandidateLoad candidate;
    candidate.known = state.reported && now - state.reportedAt < loadReportLifetime(this->states.size());
    if (!candidate.known) {
        return candidate;
    }
    AgentLoad load = state.load;
    load.slots = std::max(1U, state.host().slots);
    load.startWait -= std::min(load.startWait, std::chrono::floor<milliseconds>(now - state.reportedAt));
    candidate.age = load.reportsChanges ? std::chrono::nanoseconds(0) : now - state.reportedAt;
    candidate.meanWork = load.meanWork.count() > 0 ? load.meanWork : defaultMeanWork;
    candidate.wait = expectedWait(load, state.unanswered, urgency);
    candidate.costMs
        = inMilliseconds(candidate.wait) + occupancyCostMs * (load.occupied() + state.unanswered) / load.slots;
    return candidate;
}

double FlowPlacement::fixedCost(const State& state, TimePoint now)
{
    double total = std::uniform_real_distribution<double>(0, jitterCostMs)(this->random);
    if (state.coldRemaining(now).count() > 0) {
        const auto work = state.load.meanWork.count() > 0 ? state.load.meanWork : defaultMeanWork;
        total += coldSlowdown * inMilliseconds(work);
    }
    if (state.host().availabilityZone != this->availabilityZone) {
        total += otherZoneCostMs;
    }
    if (!state.reported || now - state.reportedAt >= loadReportLifetime(this->states.size())) {
        total += unknownCostMs;
    }
    if (state.silent) {
        total += silentCostMs;
    }
    return total;
}

std::optional<PlacementChoice> FlowPlacement::choose(
    std::string_view service, const FlowKey& flow, FlowUrgency urgency, std::span<const Endpoint> tried, TimePoint now)
{
    const auto ranking = this->byService.find(service);
    if (ranking == this->byService.end()) {
        return std::nullopt;
    }
    const auto isTried
        = [&](const Endpoint& agent) { return std::find(tried.begin(), tried.end(), agent) != tried.end(); };
    const auto isCandidate = [this](const Endpoint& agent) { return isUsable(this->states.at(agent)); };
    auto candidates = ranking->second.nearest(flow, this->availabilityZone, candidatesNearAndFar, isCandidate);
    if (std::all_of(candidates.begin(), candidates.end(), isTried)) {
        candidates = ranking->second.nearest(flow, this->availabilityZone, candidatesNearAndFar,
            [&](const Endpoint& agent) { return isCandidate(agent) && !isTried(agent); });
    }
    std::vector<CandidateLoad> loads;
    loads.reserve(candidates.size());
    for (const Endpoint& address : candidates) {
        loads.push_back(this->describe(this->states.at(address), urgency, now));
    }
    interpretLoads(loads);
    std::optional<PlacementChoice> best;
    double bestCost = 0;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        if (isTried(candidates[index])) {
            continue;
        }
        const State& state = this->states.at(candidates[index]);
        const double cost = loads[index].costMs + this->fixedCost(state, now);
        if (!best || cost < bestCost) {
            const auto age
                = state.reported ? std::chrono::duration_cast<milliseconds>(now - state.reportedAt) : milliseconds(-1);
            best = PlacementChoice { candidates[index], loads[index].wait, age, state.host().slots,
                state.coldRemaining(now) };
            bestCost = cost;
        }
    }
    return best;
}

bool FlowPlacement::hasUsableAgent(std::string_view service) const
{
    const auto agents = this->byService.find(service);
    return agents != this->byService.end()
        && std::any_of(agents->second.agents().begin(), agents->second.agents().end(),
            [this](const Endpoint& address) { return isUsable(this->states.at(address)); });
}

bool FlowPlacement::isEvacuated(std::string_view service) const
{
    const auto agents = this->byService.find(service);
    return agents != this->byService.end() && !this->hasUsableAgent(service)
        && std::any_of(agents->second.agents().begin(), agents->second.agents().end(), [this](const Endpoint& address) {
               // An agent of an evacuated zone reports itself as leaving.
               const State& state = this->states.at(address);
               return !state.draining && this->evacuatedZones.contains(state.host().availabilityZone);
           });
}

std::uint64_t FlowPlacement::serviceOf(const Endpoint& agent) const
{
    const auto found = this->states.find(agent);
    return found == this->states.end() ? 0 : serviceHash(found->second.host().service);
}

std::string_view FlowPlacement::serviceNameOf(const Endpoint& agent) const
{
    const auto found = this->states.find(agent);
    return found == this->states.end() ? std::string_view() : std::string_view(found->second.host().service);
}

milliseconds FlowPlacement::coldRemaining(const Endpoint& agent, TimePoint now) const
{
    const auto found = this->states.find(agent);
    return found == this->states.end() ? milliseconds(0) : found->second.coldRemaining(now);
}

void FlowPlacement::recordFlowSent(const Endpoint& agent)
{
    const auto found = this->states.find(agent);
    if (found != this->states.end()) {
        ++found->second.unanswered;
    }
}

void FlowPlacement::recordVerdict(const Endpoint& agent)
{
    const auto found = this->states.find(agent);
    if (found != this->states.end() && found->second.unanswered > 0) {
        --found->second.unanswered;
    }
}

void FlowPlacement::recordVerdictTimeout(const Endpoint& agent)
{
    const auto found = this->states.find(agent);
    if (found != this->states.end()) {
        found->second.silent = true;
    }
    this->recordVerdict(agent);
}

bool FlowPlacement::isSilent(const Endpoint& agent) const
{
    const auto found = this->states.find(agent);
    return found == this->states.end() || found->second.silent;
}

std::vector<Endpoint> FlowPlacement::agentsOf(std::string_view service) const
{
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? std::vector<Endpoint>() : found->second.agents();
}

std::vector<Endpoint> FlowPlacement::likelyOwners(std::string_view service, const FlowKey& flow) const
{
    const auto found = this->byService.find(service);
    if (found == this->byService.end()) {
        return {};
    }
    auto owners = found->second.nearest(flow, this->availabilityZone, candidatesNearAndFar,
        [this](const Endpoint& agent) { return this->isUsable(this->states.at(agent)); });
    const auto undisturbed = found->second.nearest(
        flow, this->availabilityZone, likelyOwnersNearAndFar, [](const Endpoint&) { return true; });
    for (const Endpoint& agent : undisturbed) {
        if (std::find(owners.begin(), owners.end(), agent) == owners.end()) {
            owners.push_back(agent);
        }
    }
    return owners;
}

std::vector<Endpoint> FlowPlacement::likelyOwnersOfEachZone(std::string_view service, const FlowKey& flow) const
{
    const auto found = this->byService.find(service);
    return found == this->byService.end() ? std::vector<Endpoint>()
                                          : found->second.firstOfEachZone(flow, likelyOwnersNearAndFar);
}

std::vector<Endpoint> FlowPlacement::agents() const
{
    std::vector<Endpoint> addresses;
    addresses.reserve(this->states.size());
    for (const auto& [address, state] : this->states) {
        addresses.push_back(address);
    }
    return addresses;
}

}
