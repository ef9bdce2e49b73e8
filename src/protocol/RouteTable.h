#pragma once

#include "protocol/Endpoint.h"
#include "protocol/RouteTarget.h"
#include "protocol/ServiceLimits.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace chicoryferry {

// The target of new flows to one address, and the properties of the requests in these flows.
struct FlowRoute {
    RouteTarget target;
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
    std::map<std::string, ServiceLimits, std::less<>> services; // those with limits
    std::chrono::milliseconds idleTimeout { 15000 }; // flows that have been idle for longer may be removed

    bool operator==(const RouteTable&) const = default;
};

}
