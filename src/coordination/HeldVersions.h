#pragma once

#include "protocol/DocumentKind.h"

#include <cstdint>

namespace chicoryferry {

// Versions of the platform's documents that a process holds.
struct HeldVersions {
    std::uint64_t configuration { 0 }; // 0: none
    std::uint64_t instances { 0 }; // 0: none
    std::uint64_t configurationHash { 0 };
    bool historyComplete { false }; // all configurations within the retention period are known

    std::uint64_t of(DocumentKind kind) const
    {
        return kind == DocumentKind::Configuration ? this->configuration : this->instances;
    }

    bool hasBothDocuments() const { return this->configuration != 0 && this->instances != 0; }

    // True if `other` has a newer document of either kind.
    bool isOlderThan(const HeldVersions& other) const
    {
        return this->configuration < other.configuration || this->instances < other.instances;
    }
};

}
