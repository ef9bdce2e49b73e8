#pragma once

#include "protocol/Endpoint.h"
#include "protocol/InstanceList.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryferry {

// Who reads from the platform and who passes configuration on to whom, derived from the instance list alone, so that
// processes with the same list agree without an election. Within each availability zone the instances are ranked by
// the hash of their name, leaving ones last; the first two are the readers, and the parent of position i is position
// (i - 1) / fanOut. A parent always ranks before its children, so that parents kept across list changes form no cycle.
class DistributionTree {
public:
    static constexpr std::size_t fanOut = 16;
    static constexpr std::size_t readersPerZone = 2;

    explicit DistributionTree(std::shared_ptr<const InstanceList>);

    bool empty() const { return this->list->instances.empty(); }

    bool contains(std::string_view name, std::string_view availabilityZone) const;

    bool isReader(std::string_view name, std::string_view availabilityZone) const;

    // Peer addresses to subscribe at, best first, without the instance itself and without repeats: the parent, another
    // node of the parent's level, the readers of the zone, then any peer. For an instance that is not listed: nodes of
    // its zone, then any peer. For a reader: the other readers.
    std::vector<Endpoint> parentCandidates(
        std::string_view name, std::string_view availabilityZone, std::size_t count) const;

    // Peer addresses of the readers of every zone, without the instance itself.
    std::vector<Endpoint> otherReaders(std::string_view name) const;

private:
    struct Member {
        bool leaving { false };
        std::uint64_t hash { 0 };
        std::uint32_t index { 0 }; // into the instance list

        auto operator<=>(const Member&) const = default;
    };

    class CandidateList;

    const std::vector<Member>* zone(std::string_view availabilityZone) const;
    const Instance& instance(const Member& member) const { return this->list->instances[member.index]; }
    static constexpr std::size_t notListed = SIZE_MAX;
    std::size_t position(std::string_view name, const std::vector<Member>& members) const;
    void addListed(CandidateList&, const std::vector<Member>&, std::size_t position, std::uint64_t self) const;

    std::shared_ptr<const InstanceList> list;
    std::map<std::string, std::vector<Member>, std::less<>> zones; // members in rank order
};

}
