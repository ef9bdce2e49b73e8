#pragma once

#include <cstdint>
#include <string>

namespace chicoryferry {

class ControlPlane;
struct Settings;

// What /v1/status answers, as JSON with the same field names.
struct StatusReport {
    std::string role;
    std::string instance;
    std::uint64_t incarnation { 0 };
    std::string availabilityZone;
    std::uint64_t configurationVersion { 0 };
    std::uint64_t instancesVersion { 0 };
    std::uint64_t confirmationAgeMs { 0 };
    std::uint64_t flows { 0 };
    std::uint64_t requestsInFlight { 0 };
    bool ready { false };
    bool draining { false };
};

// A report with what the settings and the control plane tell; the process fills in the rest.
StatusReport makeStatus(const Settings&, const ControlPlane&);

// The report as one JSON object.
std::string formatStatus(const StatusReport&);

}
