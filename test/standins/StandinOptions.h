#pragma once

#include "protocol/Endpoint.h"

#include <map>
#include <string>
#include <vector>

namespace chicoryferry::standins {

// The options of a stand-in, "--name value" each.
class StandinOptions {
public:
    // Throws UserError for an option that is not among the accepted names or has no value.
    StandinOptions(const std::vector<std::string>& arguments, const std::vector<std::string>& accepted);

    std::string text(const std::string& name, const std::string& defaultValue) const;

    // An address to listen on; 127.0.0.1:0 when the option is not given.
    Endpoint listenAddress(const std::string& name) const;

private:
    std::map<std::string, std::string> values;
};

}
