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

// Determines which instances read from the platform and which forward its documents to which others. Everything is
// derived from the instance list alone, so that processes with the same list agree without an election. Within each
// availability zone the instances are sorted by the hash of their name, leaving ones last. The first two are the
// readers, and the parent of position i is position (i - 1) / fanOut. A parent always precedes its children, so that
// parents that are kept across changes of the list form no cycle.
class DistributionTree {
public:
    static constexpr std::size_t fanOut = 16;
    static constexpr std::size_t readersPerZone = 2;

    explicit DistributionTree(std::shared_ptr<const InstanceList>);

    bool empty() const { return this->list->instances.empty(); }

    bool contains(std::string_view name, std::string_view availabilityZone) const;

    bool isReader(std::string_view name, std::string_view availabilityZone) const;

    // Distinct peer addresses to subscribe to, most preferred first, excluding the instance itself: the parent, another
    // instance of the parent's level, the readers of the zone, then arbitrary peers. For an instance that is not
    // listed: instances of its zone, then arbitrary peers. For a reader: the readers of all zones, not limited to
    // `count`.
    std::vector<Endpoint> parentCandidates(
        std::string_view name, std::string_view availabilityZone, std::size_t count) const;

    // Peer addresses of the readers of all zones, excluding the instance itself.
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
    void addListedInstanceCandidates(
        CandidateList&, const std::vector<Member>&, std::size_t position, std::uint64_t selfHash) const;

    std::shared_ptr<const InstanceList> list;
    std::map<std::string, std::vector<Member>, std::less<>> zones; // each sorted by position
};

}
