#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace chicoryferry {

// Identifies one run of an agent process: the name of its instance and its incarnation, which increases with each
// restart.
struct PeerIdentity {
    std::string instance;
    std::uint64_t incarnation { 0 };

    auto operator<=>(const PeerIdentity&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

}
