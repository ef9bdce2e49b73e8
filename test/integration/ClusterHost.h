#pragma once

#include "ChildProcess.h"
#include "ClusterPlan.h"
#include "protocol/Endpoint.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace chicoryferry::integration {

// A backend server, its agent, and what the platform publishes about them.
struct ClusterHost {
    HostPlan plan;
    std::uint64_t incarnation { 1 };
    std::unique_ptr<ChildProcess> backend;
    Endpoint backendAddress;
    std::unique_ptr<ChildProcess> agent;
    Endpoint dataAddress;
    Endpoint peerAddress; // as published; the relay's address if messages are proxied
    Endpoint adminAddress;
    std::map<std::string, std::string> labels;
    std::string documentState { "active" };
    std::string instanceState { "live" };
    bool inDocument { true };
    bool listed { true }; // in the instance list
};

}
