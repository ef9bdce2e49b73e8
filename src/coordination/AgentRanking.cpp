#include "coordination/AgentRanking.h"

#include "coordination/RendezvousRanking.h"

#include <algorithm>
#include <xxhash.h>

namespace chicoryferry {

namespace {

bool ranksAfter(std::uint64_t leftRank, const Endpoint& left, std::uint64_t rightRank, const Endpoint& right)
{
    return leftRank != rightRank ? leftRank < rightRank : left < right;
}

bool acceptsAll(const Endpoint&) { return true; }

}

void AgentRanking::add(const Endpoint& agent, std::string_view availabilityZone)
{
    auto zone = this->zones.find(availabilityZone);
    if (zone == this->zones.end()) {
        zone = this->zones.emplace(availabilityZone, Zone()).first;
    }
    zone->second.push_back(agent);
    this->all.push_back(agent);
}

void AgentRanking::rank(const FlowKey& flow, const Zone& zone, std::vector<Ranked>& output)
{
    const std::uint64_t seed = flowHash(flow.caller, flow.service);
    for (const Endpoint& agent : zone) {
        output.push_back({ XXH3_64bits_withSeed(&agent.address, sizeof(agent.address), seed), agent });
    }
}

std::vector<Endpoint> AgentRanking::take(std::vector<Ranked>& ranked, std::size_t count, const Filter& accepts)
{
    // A heap orders only as many agents as are taken.
    const auto after = [](const Ranked& left, const Ranked& right) {
        return ranksAfter(left.rank, left.agent, right.rank, right.agent);
    };
    std::make_heap(ranked.begin(), ranked.end(), after);
    std::vector<Endpoint> taken;
    while (!ranked.empty() && taken.size() < count) {
        std::pop_heap(ranked.begin(), ranked.end(), after);
        if (accepts(ranked.back().agent)) {
            taken.push_back(ranked.back().agent);
        }
        ranked.pop_back();
    }
    return taken;
}

std::vector<Endpoint> AgentRanking::nearest(
    const FlowKey& flow, std::string_view availabilityZone, std::size_t count, const Filter& accepts) const
{
    std::vector<Ranked> near;
    std::vector<Ranked> far;
    for (const auto& [name, zone] : this->zones) {
        rank(flow, zone, name == availabilityZone ? near : far);
    }
    std::vector<Endpoint> agents = take(near, 2 * count, accepts);
    const std::vector<Endpoint> others = take(far, 2 * count, accepts);
    const std::size_t fromOthers = std::min(others.size(), 2 * count - std::min(agents.size(), count));
    agents.resize(std::min(agents.size(), 2 * count - fromOthers));
    agents.insert(agents.end(), others.begin(), others.begin() + static_cast<std::ptrdiff_t>(fromOthers));
    return agents;
}

std::vector<Endpoint> AgentRanking::firstOfEachZone(const FlowKey& flow, std::size_t count) const
{
    std::vector<Endpoint> agents;
    for (const auto& [name, zone] : this->zones) {
        std::vector<Ranked> ranked;
        rank(flow, zone, ranked);
        const std::vector<Endpoint> first = take(ranked, count, acceptsAll);
        agents.insert(agents.end(), first.begin(), first.end());
    }
    return agents;
}

}
