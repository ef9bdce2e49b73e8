#pragma once

#include "protocol/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

// Validated settings of a process on the users' platform, read from the settings file.
struct NodeSettings {
    std::string instance;
    std::string availabilityZone;
    Endpoint packetAddress; // balancer: receives callers' packets; agent: receives packets that balancers forward
    Endpoint readyAddress; // HTTP readiness probe
    Endpoint metricsAddress; // HTTP metrics
    Endpoint peerAddress; // messages between balancers and agents
    Endpoint store; // the platform's metadata store
    std::vector<std::uint32_t> seedAddresses; // initial addresses for the discovery of balancers; may be out of date

    // Agent only: the backend server on the same machine.
    std::string service;
    Endpoint backendServer; // receives packets
    Endpoint backendOutbound; // where this process receives the backend server's packets

    double linkBytesPerSecond { 125'000'000 }; // capacity of the instance's link
    bool firstStart { false }; // the whole system starts for the first time, so that no flow can be open

    std::chrono::milliseconds stopGrace { 6000 }; // time between SIGTERM and SIGKILL
    std::chrono::milliseconds flowLifetime { 60000 }; // flows older than this may be discarded

    auto operator<=>(const NodeSettings&) const = default;
};

}
