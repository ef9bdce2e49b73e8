#pragma once

#include "protocol/ConfigurationFault.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace chicoryferry {

// What became of a document that was offered to the store.
enum class StoreOutcome {
    Accepted,
    NotNewer, // the version in force or an older one
    Conflict, // other content under the version in force
    Invalid, // refused as a whole
    BaseMissing, // a patch against another version than the one in force
    HashMismatch, // the result is not the document that the sender has
};

// The label in counters and logs.
constexpr std::string_view storeOutcomeName(StoreOutcome outcome)
{
    constexpr std::string_view names[]
        = { "accepted", "not_newer", "version_conflict", "invalid", "base_missing", "hash_mismatch" };
    return names[static_cast<std::size_t>(outcome)];
}

struct StoreResult {
    StoreOutcome outcome { StoreOutcome::Invalid };
    std::uint64_t version { 0 }; // of the document offered; 0 when it could not be read
    std::vector<ConfigurationFault> faults;
};

}
