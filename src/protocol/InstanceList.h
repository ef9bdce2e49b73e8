#pragma once

#include "protocol/Instance.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryferry {

// The platform's list of live and leaving instances. It may lag behind the actual state.
struct InstanceList {
    std::uint64_t version { 0 };
    std::vector<Instance> instances;

    const Instance* find(std::string_view name) const;
};

// Parses {"version":N,"instances":[{"name","role":"balancer"|"agent","availabilityZone","incarnation","dataAddress",
// "peerAddress","adminAddress","state":"live"|"leaving"}]}. Throws ConfigurationError with the path of each fault.
InstanceList parseInstanceList(std::string_view text);

}
