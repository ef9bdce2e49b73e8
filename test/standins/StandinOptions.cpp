#include "StandinOptions.h"

#include "support/UserError.h"

#include <algorithm>

namespace chicoryferry::standins {

StandinOptions::StandinOptions(const std::vector<std::string>& arguments, const std::vector<std::string>& accepted)
{
    for (std::size_t index = 0; index < arguments.size(); index += 2) {
        const std::string& name = arguments[index];
        const bool known = std::find(accepted.begin(), accepted.end(), name) != accepted.end();
        if (!known || index + 1 == arguments.size()) {
            throw UserError("parse options", name, known ? "missing value" : "unknown option");
        }
        this->values[name] = arguments[index + 1];
    }
}

std::string StandinOptions::text(const std::string& name, const std::string& defaultValue) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? defaultValue : found->second;
}

Endpoint StandinOptions::listenAddress(const std::string& name) const
{
    return parseEndpoint(this->text(name, "127.0.0.1:0"));
}

}
