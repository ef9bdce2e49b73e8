#include "app/StatusReport.h"

#include "app/ControlPlane.h"
#include "app/Settings.h"
#include "state/ConfigurationView.h"

#include <nlohmann/json.hpp>

namespace chicoryferry {

StatusReport makeStatus(const Settings& settings, const ControlPlane& control)
{
    StatusReport report;
    report.role = settings.role;
    report.instance = settings.instance;
    report.incarnation = settings.incarnation;
    report.availabilityZone = settings.availabilityZone;
    if (const auto view = control.view()) {
        report.configurationVersion = view->configuration().version;
        report.instancesVersion = view->instances().version;
    }
    report.confirmationAgeMs = static_cast<std::uint64_t>(control.confirmationAge().count());
    return report;
}

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
