#pragma once

#include "protocol/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace chicoryferry {

// What a backend server publishes of itself.
struct HostEntry {
    std::string id;
    std::string service;
    Endpoint address;
    std::string availabilityZone;
    std::uint32_t slots { 1 };
    bool draining { false };
    std::chrono::milliseconds coldRemaining { 0 }; // as of the moment of publishing
    std::int64_t startedAtMs { 0 }; // Unix time in milliseconds; tells lifetimes under one id apart

    auto operator<=>(const HostEntry&) const = default;
};

}
