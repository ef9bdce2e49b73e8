#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicoryferry::integration {

struct HostPlan {
    std::string name;
    std::string service; // label "service", and the service that the backend server names in its answers
    std::string availabilityZone;
    unsigned slots { 2 };
    unsigned connections { 2000 };
};

// What a cluster starts with.
struct ClusterPlan {
    std::uint64_t seed { 1 };
    std::vector<std::string> balancerZones; // one balancer for each
    std::vector<HostPlan> hosts;
    std::chrono::seconds drainLimit { 60 };
    std::string backendSilence { "10s" };
    std::string retention { "600s" };
    bool proxied { false }; // messages between agents go through a proxy stand-in, one relay for each host

    // The two services of Msasani at small size: job-1 to job-3 and drawing-1 to drawing-2, over three availability
    // zones, with two balancers.
    static ClusterPlan small(std::uint64_t seed);
};

}
