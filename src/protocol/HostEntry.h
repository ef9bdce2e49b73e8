#pragma once

#include "protocol/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace chicoryferry {

// The entry that a backend server publishes about itself in the store.
struct HostEntry {
    std::string id;
    std::string service;
    Endpoint address;
    std::string availabilityZone;
    std::uint32_t slots { 1 };
    bool draining { false };
    std::chrono::milliseconds coldRemaining { 0 }; // remaining cold-start time when the entry was published
    std::int64_t startedAtMs { 0 }; // Unix time in milliseconds by the machine's clock, which may be stepped

    auto operator<=>(const HostEntry&) const = default;
};

}
