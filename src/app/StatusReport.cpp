#include "app/StatusReport.h"

#include <nlohmann/json.hpp>

namespace chicoryferry {

std::string formatStatus(const StatusReport& report)
{
    nlohmann::ordered_json status;
    status["role"] = report.role;
    status["instance"] = report.instance;
    status["incarnation"] = report.incarnation;
    status["availabilityZone"] = report.availabilityZone;
    status["configurationVersion"] = report.configurationVersion;
    status["instancesVersion"] = report.instancesVersion;
    status["confirmationAgeMs"] = report.confirmationAgeMs;
    status["flows"] = report.flows;
    status["requestsInFlight"] = report.requestsInFlight;
    status["ready"] = report.ready;
    status["draining"] = report.draining;
    return status.dump();
}

}
