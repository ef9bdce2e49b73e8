#pragma once

#include "protocol/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace chicoryferry {

// Where new flows to one address go, and what the requests in them need.
struct FlowRoute {
    std::string service;
    bool idempotent { false };
    std::chrono::milliseconds targetLatency { 100 };
    std::chrono::milliseconds timeout { 1000 };
    std::uint32_t priority { 1 }; // 0 is the highest

    auto operator<=>(const FlowRoute&) const = default;
};

// One version of the operator's configuration.
struct RouteTable {
    std::uint64_t version { 0 };
    std::map<Endpoint, FlowRoute> routes;
    std::chrono::milliseconds idleTimeout { 15000 }; // flows that are idle for longer may be discarded

    bool operator==(const RouteTable&) const = default;
};

}
