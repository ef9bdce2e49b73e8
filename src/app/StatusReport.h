#pragma once

#include <cstdint>
#include <string>

namespace chicoryferry {

class ControlPlane;
struct Settings;

// The content of /v1/status, which is a JSON object with the same field names.
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

// Fills in the fields known from the settings and the control plane; the caller sets flows, requestsInFlight, ready and
// draining.
StatusReport makeStatus(const Settings&, const ControlPlane&);

// Formats the report as a JSON object.
std::string formatStatus(const StatusReport&);

}
