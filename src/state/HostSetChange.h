#pragma once

#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>

namespace chicoryferry {

class ConfigurationView;

// Names of the services of the first view whose hosts, for any caller group, differ in the second: in number, name,
// incarnation, address or slots, which are what ranking and keys depend on.
std::set<std::string> changedServices(const ConfigurationView& before, const ConfigurationView& after);

// The document with only these services, their bindings and the hosts that the view selects for them.
nlohmann::json reduceDocument(
    const nlohmann::json& document, const ConfigurationView&, const std::set<std::string>& services);

}
