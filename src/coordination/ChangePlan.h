#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace chicoryferry {

struct Configuration;

// The effect of a configuration change on one service.
struct ServiceChange {
    std::string service;
    std::vector<std::string> gained; // hosts, by name
    std::vector<std::string> lost;
    std::vector<std::string> draining; // hosts that the new document marks as draining and the old one does not
    double movedFlowShare { 0 }; // share of sampled new flows whose owner differs, 0 to 1
};

// Compares two configurations, service by service in the order of their names. The flow share is estimated
// from a fixed sample of flows, the same number for each of the service's caller groups.
std::vector<ServiceChange> planChange(
    const std::shared_ptr<const Configuration>& before, const std::shared_ptr<const Configuration>& after);

}
