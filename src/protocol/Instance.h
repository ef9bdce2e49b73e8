#pragma once

#include "protocol/Endpoint.h"
#include "protocol/InstanceRole.h"

#include <cstdint>
#include <string>

namespace chicoryferry {

// Whether the platform is going to stop an instance.
enum class InstanceState {
    Live,
    Leaving,
};

// One process of the system as the platform lists it.
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
