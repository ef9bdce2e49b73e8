#pragma once

#include "protocol/Endpoint.h"

#include <cstdint>
#include <map>
#include <string>

namespace chicoryferry {

// Whether a host is assigned new requests and flows.
enum class HostState {
    Active,
    Draining,
};

// An instance with one backend server and its agent. Source: configuration document.
struct Host {
    std::string name;
    std::uint64_t incarnation { 0 };
    std::string availabilityZone;
    Endpoint dataAddress;
    Endpoint peerAddress;
    unsigned slots { 1 };
    unsigned connections { 2000 };
    HostState state { HostState::Active };
    std::map<std::string, std::string> labels;
};

}
