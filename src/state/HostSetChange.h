#pragma once

#include <nlohmann/json_fwd.hpp>
#include <set>
#include <string>

namespace chicoryferry {

class ConfigurationView;

// Names of the services in `before` whose hosts differ in `after` for any caller group: in number, order, name,
// incarnation, addresses, slots or state, because ranking and idempotency keys depend on these.
std::set<std::string> changedServices(const ConfigurationView& before, const ConfigurationView& after);

// Returns the document restricted to these services, their bindings and the hosts that the view selects for them.
nlohmann::json reduceDocument(
    const nlohmann::json& document, const ConfigurationView&, const std::set<std::string>& services);

}
