#include "protocol/ConfigurationError.h"

#include <fmt/format.h>

namespace chicoryferry {

namespace {

std::string summarize(const std::vector<ConfigurationFault>& faults)
{
    std::string summary = fmt::format("{} fault(s)", faults.size());
    for (const ConfigurationFault& fault : faults) {
        summary += fmt::format("; {}: {}", fault.path.empty() ? "/" : fault.path, fault.message);
    }
    return summary;
}

}

ConfigurationError::ConfigurationError(const std::string& step, std::vector<ConfigurationFault> faults)
    : UserError(step, "", summarize(faults))
    , documentFaults(std::move(faults))
{
}

}
