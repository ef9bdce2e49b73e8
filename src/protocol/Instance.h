#pragma once

#include "protocol/Endpoint.h"
#include "protocol/InstanceRole.h"

#include <cstdint>
#include <string>

namespace chicoryferry {

// Whether the platform is about to stop an instance.
enum class InstanceState {
    Live,
    Leaving,
};

// A balancer or agent process, as listed by the platform.
struct Instance {
    std::string name;
    InstanceRole role { InstanceRole::Balancer };
    std::string availabilityZone;
    std::uint64_t incarnation { 0 };
    Endpoint dataAddress;
    Endpoint peerAddress;
    Endpoint adminAddress;
    InstanceState state { InstanceState::Live };
};

}
