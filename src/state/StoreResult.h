#pragma once

#include "protocol/ConfigurationFault.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace chicoryferry {

// Result of offering a document to the ConfigurationStore.
enum class StoreOutcome {
    Accepted,
    NotNewer, // same document as the one in force, or an older version
    Conflict, // same version as the one in force, but different content
    Invalid, // refused as a whole
    BaseMissing, // the base of the patch is not the version in force
    HashMismatch, // the resulting document differs from the sender's
};

// The label used in metrics and logs.
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
