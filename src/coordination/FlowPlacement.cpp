#include "coordination/FlowPlacement.h"

#include "coordination/HelloInterval.h"

#include <algorithm>
#include <xxhash.h>

namespace chicoryferry {

namespace {

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

double milliseconds(std::chrono::microseconds duration) { return static_cast<double>(duration.count()) / 1000.0; }

}

std::uint64_t serviceHash(std::string_view service) { return XXH3_64bits(service.data(), service.size()); }

FlowPlacement::FlowPlacement(std::string zone, std::uint64_t seed)
    : availabilityZone(std::move(zone))
    , random(static_cast<std::minstd_rand::result_type>(seed))
{
}

void FlowPlacement::setAgents(const std::vector<Agent>& agents, TimePoint now)
{
    std::map<Endpoint, State> next;
    this->byService.clear();
    for (const Agent& agent : agents) {
        State state;
        const auto found = this->states.find(agent.address);
        if (found != this->states.end() && found->second.host.service == agent.host.service) {
            state = found->second;
        }
        state.host = agent.host;
        state.learnedAt = std::min(agent.learnedAt, now);
        next.insert_or_assign(agent.address, std::move(state));
        this->byService[agent.host.service].push_back(agent.address);
    }
    this->states = std::move(next);
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
    return true;
}

double FlowPlacement::cost(const State& state, FlowUrgency urgency, TimePoint now, std::chrono::microseconds& wait)
{
    const bool known = state.reported && now - state.reportedAt < loadReportLifetime(this->states.size());
    AgentLoad load = known ? state.load : AgentLoad {};
    load.slots = std::max(1U, state.host.slots);
    wait = expectedWait(load, state.unanswered, urgency);
    double total = milliseconds(wait) + occupancyCostMs * (load.occupied() + state.unanswered) / load.slots;
    if (state.learnedAt + state.host.coldRemaining > now) {
        total += coldSlowdown * milliseconds(load.meanWork.count() > 0 ? load.meanWork : defaultMeanWork);
    }
    if (state.host.availabilityZone != this->availabilityZone) {
        total += otherZoneCostMs;
    }
    if (!known) {
        total += unknownCostMs;
    }
    if (state.silent) {
        total += silentCostMs;
    }
    return total + std::uniform_real_distribution<double>(0, jitterCostMs)(this->random);
}

std::optional<PlacementChoice> FlowPlacement::choose(
    std::string_view service, FlowUrgency urgency, std::span<const Endpoint> tried, TimePoint now)
{
    const auto agents = this->byService.find(service);
    if (agents == this->byService.end()) {
        return std::nullopt;
    }
    std::optional<PlacementChoice> best;
    double bestCost = 0;
    for (const Endpoint& address : agents->second) {
        const State& state = this->states.at(address);
        if (!isUsable(state) || std::find(tried.begin(), tried.end(), address) != tried.end()) {
            continue;
        }
        std::chrono::microseconds wait {};
        const double agentCost = this->cost(state, urgency, now, wait);
        if (!best || agentCost < bestCost) {
            const auto age = state.reported
                ? std::chrono::duration_cast<std::chrono::milliseconds>(now - state.reportedAt)
                : std::chrono::milliseconds(-1);
            best = PlacementChoice { address, wait, age, state.host.slots };
            bestCost = agentCost;
        }
    }
    return best;
}

bool FlowPlacement::hasUsableAgent(std::string_view service) const
{
    const auto agents = this->byService.find(service);
    return agents != this->byService.end()
        && std::any_of(agents->second.begin(), agents->second.end(),
            [this](const Endpoint& address) { return isUsable(this->states.at(address)); });
}

std::uint64_t FlowPlacement::serviceOf(const Endpoint& agent) const
{
    const auto found = this->states.find(agent);
    return found == this->states.end() ? 0 : serviceHash(found->second.host.service);
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
    return found == this->byService.end() ? std::vector<Endpoint>() : found->second;
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
