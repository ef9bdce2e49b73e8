#pragma once

#include "ChildProcess.h"
#include "protocol/Endpoint.h"

#include <cstdint>
#include <memory>
#include <string>

namespace chicoryferry::integration {

struct ClusterBalancer {
    std::string name;
    std::string availabilityZone;
    std::uint64_t incarnation { 1 };
    std::unique_ptr<ChildProcess> process;
    Endpoint dataAddress;
    Endpoint peerAddress;
    Endpoint adminAddress;
    std::string instanceState { "live" };
    bool listed { true };
    bool receivesPackets { true }; // the fabric sends packets to it
};

}
