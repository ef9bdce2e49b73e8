#pragma once

#include <cstddef>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace chicoryferry {

// The entries of the store that could not be read and have been logged. An entry that stays in the store is read again
// with every listing; it is logged once, until it has been readable or removed.
class RefusedEntries {
public:
    // Returns whether to log the refusal of the entry.
    bool record(std::string_view entry);

    // The entry is readable or has been removed.
    void erase(std::string_view entry);

    // Bounds the memory used for entries; the refusals of further ones are only counted by metrics.
    static constexpr std::size_t maximumEntries = 256;

private:
    std::set<std::string, std::less<>> entries;
};

}
