#pragma once

#include <compare>
#include <cstdint>

namespace chicoryferry {

// A state of the platform's store. The era rises when the store comes back from an older copy; revisions then go back
// and are given out again. A store that states no era has the era 0.
struct StoreVersion {
    std::uint64_t era { 0 };
    std::uint64_t revision { 0 };

    auto operator<=>(const StoreVersion&) const = default;
};

}
