#pragma once

#include "protocol/Endpoint.h"
#include "support/LogLevel.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace chicoryferry {

// The validated settings of a balancer or agent process, read from flags and environment variables.
struct Settings {
    std::string role; // "balancer" or "agent"
    std::string instance;
    std::string availabilityZone;
    std::uint64_t incarnation { 1 };
    Endpoint dataAddress;
    Endpoint peerAddress;
    Endpoint adminAddress;
    Endpoint platform;
    std::vector<Endpoint> seedPeers; // peers to ask for configuration until an instance list is known
    Endpoint fabricAddress; // agent only
    Endpoint backendServer; // agent only
    std::chrono::milliseconds drainLimit { std::chrono::hours(8) }; // agent only
    std::chrono::milliseconds backendSilence { std::chrono::seconds(10) }; // agent only
    LogLevel logLevel { LogLevel::Info };
};

// Parses the arguments after the role name. A flag overrides the environment variable CHICORYFERRY_<NAME>, which
// overrides the default. Throws a UserError that names the flag or variable, the rejected value and the accepted
// values.
Settings parseSettings(const std::string& role, const std::vector<std::string>& arguments);

}
