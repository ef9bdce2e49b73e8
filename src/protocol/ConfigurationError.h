#pragma once

#include "protocol/ConfigurationFault.h"
#include "support/UserError.h"

#include <vector>

namespace chicoryferry {

// A document that is refused as a whole, with every fault found.
class ConfigurationError : public UserError {
public:
    ConfigurationError(const std::string& step, std::vector<ConfigurationFault> faults);

    const std::vector<ConfigurationFault>& faults() const { return this->documentFaults; }

private:
    std::vector<ConfigurationFault> documentFaults;
};

}
