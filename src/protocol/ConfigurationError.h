#pragma once

#include "protocol/ConfigurationFault.h"
#include "support/UserError.h"

#include <vector>

namespace chicoryferry {

// Thrown when a document is rejected as a whole; contains all faults found in it.
class ConfigurationError : public UserError {
public:
    ConfigurationError(const std::string& step, std::vector<ConfigurationFault> faults);

    const std::vector<ConfigurationFault>& faults() const { return this->documentFaults; }

private:
    std::vector<ConfigurationFault> documentFaults;
};

}
