#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace chicoryferry {

// One life of an agent: the name of its instance and its incarnation.
struct PeerIdentity {
    std::string instance;
    std::uint64_t incarnation { 0 };

    auto operator<=>(const PeerIdentity&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

}
