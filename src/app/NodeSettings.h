#pragma once

#include "protocol/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

// The checked settings of a process on the users' platform. Source: the settings file.
struct NodeSettings {
    std::string instance;
    std::string availabilityZone;
    Endpoint packetAddress; // balancer: packets of callers; agent: packets that peers forward
    Endpoint readyAddress; // HTTP readiness
    Endpoint metricsAddress; // HTTP counters
    Endpoint peerAddress; // messages between the system's processes
    Endpoint store; // the platform's metadata store
    std::vector<std::uint32_t> seedAddresses; // machines that may know the others; may be stale

    // Agent only: the backend server on the same machine.
    std::string service;
    Endpoint backendServer; // takes packets
    Endpoint backendOutbound; // where this process takes the backend server's packets

    std::chrono::milliseconds stopGrace { 6000 }; // from SIGTERM to SIGKILL
    std::chrono::milliseconds flowLifetime { 60000 }; // older flows may be discarded

    auto operator<=>(const NodeSettings&) const = default;
};

}
