#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicoryferry::integration {

struct HostPlan {
    std::string name;
    std::string service; // value of the label "service"; the backend server names it in its answers
    std::string availabilityZone;
    unsigned slots { 2 };
    unsigned connections { 2000 };
};

// Initial composition and settings of a Cluster.
struct ClusterPlan {
    std::uint64_t seed { 1 };
    std::vector<std::string> balancerZones; // one balancer per entry
    std::vector<HostPlan> hosts;
    std::chrono::seconds drainLimit { 60 };
    std::string backendSilence { "10s" };
    std::string retention { "600s" };
    bool proxied { false }; // messages between agents pass through a proxy stand-in with one relay per host

    // A small deployment of the services job (job-1 to job-3) and drawing (drawing-1 and drawing-2) over three
    // availability zones, with two balancers.
    static ClusterPlan small(std::uint64_t seed);
};

}
