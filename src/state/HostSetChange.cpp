#include "state/HostSetChange.h"

#include "state/ConfigurationView.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <unordered_set>

namespace chicoryferry {

namespace {

bool sameHost(const Host& left, const Host& right)
{
    return left.name == right.name && left.incarnation == right.incarnation && left.dataAddress == right.dataAddress
        && left.peerAddress == right.peerAddress && left.slots == right.slots && left.state == right.state;
}

bool sameHosts(const ConfigurationView& before, const BoundHosts& oldHosts, const ConfigurationView& after,
    const BoundHosts& newHosts)
{
    return std::equal(oldHosts.hosts.begin(), oldHosts.hosts.end(), newHosts.hosts.begin(), newHosts.hosts.end(),
        [&](std::uint32_t oldIndex, std::uint32_t newIndex) {
            return sameHost(before.configuration().hosts[oldIndex], after.configuration().hosts[newIndex]);
        });
}

bool sameService(const ConfigurationView& before, const Service& service, const ConfigurationView& after)
{
    const Service* next = after.serviceByName(service.name);
    if (!next || !sameHosts(before, before.hostsOf(service), after, after.hostsOf(*next))) {
        return false;
    }
    // Caller groups that were removed are skipped: no callers can be routed under their names any more.
    return std::all_of(after.configuration().callerGroups.begin(), after.configuration().callerGroups.end(),
        [&](const CallerGroup& group) {
            return sameHosts(before, before.hostsFor(service, group), after, after.hostsFor(*next, group));
        });
}

template <typename Keep> nlohmann::json filterArray(const nlohmann::json& array, Keep keep)
{
    nlohmann::json kept = nlohmann::json::array();
    std::copy_if(array.begin(), array.end(), std::back_inserter(kept), keep);
    return kept;
}

}

std::set<std::string> changedServices(const ConfigurationView& before, const ConfigurationView& after)
{
    std::set<std::string> changed;
    for (const Service& service : before.configuration().services) {
        if (!sameService(before, service, after)) {
            changed.insert(service.name);
        }
    }
    return changed;
}

nlohmann::json reduceDocument(
    const nlohmann::json& document, const ConfigurationView& view, const std::set<std::string>& services)
{
    std::unordered_set<std::string> hosts;
    for (const std::string& name : services) {
        for (const std::uint32_t index : view.hostsOf(*view.serviceByName(name)).hosts) {
            hosts.insert(view.configuration().hosts[index].name);
        }
    }
    const auto nameIn = [](const auto& names, const char* field) {
        return [&names, field](const nlohmann::json& element) {
            return names.count(element.at(field).template get<std::string>()) > 0;
        };
    };
    nlohmann::json reduced = nlohmann::json::object();
    for (const auto& [field, value] : document.items()) {
        if (field != "services" && field != "bindings" && field != "hosts") {
            reduced[field] = value;
        }
    }
    reduced["services"] = filterArray(document.at("services"), nameIn(services, "name"));
    reduced["bindings"] = filterArray(document.at("bindings"), nameIn(services, "service"));
    reduced["hosts"] = filterArray(document.at("hosts"), nameIn(hosts, "name"));
    return reduced;
}

}
