#include "coordination/DistributionTree.h"

#include "coordination/RendezvousRanking.h"

#include <algorithm>
#include <xxhash.h>

namespace chicoryferry {

namespace {

// Maximum number of random draws to fill up the candidates. A draw can repeat a peer that is already included, so the
// instance list is considered exhausted after this many.
constexpr std::size_t maximumDraws = 64;

// Deterministic pseudo-random number for an instance and a round.
std::uint64_t draw(std::uint64_t selfHash, std::uint64_t round)
{
    return XXH3_64bits_withSeed(&selfHash, sizeof(selfHash), round);
}

struct Level {
    std::size_t first { 0 };
    std::size_t size { 1 };
};

// Returns the range of positions at the same depth of the tree as `position`.
Level levelOf(std::size_t position, std::size_t fanOut)
{
    Level level;
    while (position >= level.first + level.size) {
        level.first += level.size;
        level.size *= fanOut;
    }
    return level;
}

}

// Collects distinct peer addresses up to a limit, skipping the instance itself.
class DistributionTree::CandidateList {
public:
    CandidateList(const DistributionTree& sourceTree, std::string_view selfName, std::size_t maximumCount)
        : tree(sourceTree)
        , self(selfName)
        , limit(maximumCount)
    {
    }

    void add(const Member& member)
    {
        const Instance& instance = this->tree.instance(member);
        const bool known = std::find(this->found.begin(), this->found.end(), instance.peerAddress) != this->found.end();
        if (!this->full() && !known && instance.name != this->self) {
            this->found.push_back(instance.peerAddress);
        }
    }

    bool full() const { return this->found.size() >= this->limit; }
    std::vector<Endpoint> take() { return std::move(this->found); }

private:
    const DistributionTree& tree;
    std::string_view self;
    std::size_t limit;
    std::vector<Endpoint> found;
};

DistributionTree::DistributionTree(std::shared_ptr<const InstanceList> instances)
    : list(std::move(instances))
{
    for (std::uint32_t index = 0; index < this->list->instances.size(); ++index) {
        const Instance& listed = this->list->instances[index];
        this->zones[listed.availabilityZone].push_back(
            { listed.state == InstanceState::Leaving, hostHash(listed.name), index });
    }
    for (auto& [name, members] : this->zones) {
        std::sort(members.begin(), members.end());
    }
}

const std::vector<DistributionTree::Member>* DistributionTree::zone(std::string_view availabilityZone) const
{
    const auto found = this->zones.find(availabilityZone);
    return found == this->zones.end() ? nullptr : &found->second;
}

std::size_t DistributionTree::position(std::string_view name, const std::vector<Member>& members) const
{
    const std::uint64_t hash = hostHash(name);
    for (const bool leaving : { false, true }) {
        const auto first = std::lower_bound(members.begin(), members.end(), Member { leaving, hash, 0 });
        for (auto member = first; member != members.end() && member->hash == hash; ++member) {
            if (this->instance(*member).name == name) {
                return static_cast<std::size_t>(member - members.begin());
            }
        }
    }
    return notListed;
}

bool DistributionTree::contains(std::string_view name, std::string_view availabilityZone) const
{
    const auto* members = this->zone(availabilityZone);
    return members && this->position(name, *members) != notListed;
}

bool DistributionTree::isReader(std::string_view name, std::string_view availabilityZone) const
{
    const auto* members = this->zone(availabilityZone);
    return members && this->position(name, *members) < readersPerZone;
}

void DistributionTree::addListedInstanceCandidates(
    CandidateList& candidates, const std::vector<Member>& members, std::size_t position, std::uint64_t selfHash) const
{
    const std::size_t parent = (position - 1) / fanOut;
    candidates.add(members[parent]);
    const Level level = levelOf(parent, fanOut);
    const std::size_t levelSize = std::min(level.size, members.size() - level.first);
    // Drawn separately for each child, so that the children of a failed parent are spread over the parent's level.
    candidates.add(members[level.first + draw(selfHash, 0) % levelSize]);
    for (std::size_t reader = 0; reader < readersPerZone; ++reader) {
        candidates.add(members[(reader + selfHash) % readersPerZone]);
    }
}

std::vector<Endpoint> DistributionTree::parentCandidates(
    std::string_view name, std::string_view availabilityZone, std::size_t count) const
{
    CandidateList candidates(*this, name, count);
    const std::uint64_t selfHash = hostHash(name);
    const auto* members = this->zone(availabilityZone);
    const std::size_t ownPosition = members ? this->position(name, *members) : notListed;
    if (ownPosition < readersPerZone) {
        return this->otherReaders(name);
    }
    if (ownPosition != notListed) {
        this->addListedInstanceCandidates(candidates, *members, ownPosition, selfHash);
    } else if (members) {
        for (std::uint64_t round = 0; round < fanOut / 4; ++round) {
            candidates.add((*members)[draw(selfHash, round) % members->size()]);
        }
    }
    for (std::uint64_t round = 1; round < maximumDraws && !candidates.full() && !this->empty(); ++round) {
        const auto index = static_cast<std::uint32_t>(draw(selfHash, round) % this->list->instances.size());
        candidates.add({ false, 0, index });
    }
    return candidates.take();
}

std::vector<Endpoint> DistributionTree::otherReaders(std::string_view name) const
{
    std::vector<Endpoint> readers;
    for (const auto& [zoneName, members] : this->zones) {
        for (std::size_t position = 0; position < std::min(readersPerZone, members.size()); ++position) {
            const Instance& reader = this->instance(members[position]);
            if (reader.name != name) {
                readers.push_back(reader.peerAddress);
            }
        }
    }
    return readers;
}

}
