#pragma once

#include <compare>
#include <cstdint>
#include <tuple>

namespace chicoryferry {

// A state of the platform's store. The era rises when the store comes back from an older copy; revisions then go back
// and are given out again. A store that states no era has the era 0. The correction rises when a balancer finds a
// revision to be false, so that the true revisions that follow are newer, though lower.
struct StoreVersion {
    std::uint64_t era { 0 };
    std::uint64_t revision { 0 };
    std::uint64_t correction { 0 };

    bool operator==(const StoreVersion&) const = default;
    std::strong_ordering operator<=>(const StoreVersion& other) const
    {
        return std::tie(this->era, this->correction, this->revision)
            <=> std::tie(other.era, other.correction, other.revision);
    }
};

}
