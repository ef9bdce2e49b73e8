#include "coordination/ChangePlan.h"

#include "coordination/RendezvousRanking.h"
#include "protocol/Configuration.h"
#include "state/ConfigurationView.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>

namespace chicoryferry {

namespace {

// Number of sampled flows per caller group. Gives the flow share with a standard error below one percentage point.
constexpr std::uint32_t flowSampleSize = 4096;

ConfigurationView makeView(const std::shared_ptr<const Configuration>& configuration)
{
    return { configuration, std::make_shared<const InstanceList>(), {} };
}

std::set<std::string> hostNames(const ConfigurationView& view, const std::string& serviceName, bool drainingOnly)
{
    std::set<std::string> names;
    if (const Service* service = view.serviceByName(serviceName)) {
        for (const std::uint32_t index : view.hostsOf(*service).hosts) {
            const Host& host = view.configuration().hosts[index];
            if (!drainingOnly || view.isDraining(host)) {
                names.insert(host.name);
            }
        }
    }
    return names;
}

std::vector<std::string> difference(const std::set<std::string>& from, const std::set<std::string>& without)
{
    std::vector<std::string> names;
    std::set_difference(from.begin(), from.end(), without.begin(), without.end(), std::back_inserter(names));
    return names;
}

// Name of the host that owns a new flow with this hash. Null when no host accepts new flows.
std::optional<std::string> ownerOf(
    const ConfigurationView& view, const std::string& serviceName, const std::string& groupName, std::uint64_t flow)
{
    const Service* service = view.serviceByName(serviceName);
    const auto& groups = view.configuration().callerGroups;
    const auto group = std::find_if(
        groups.begin(), groups.end(), [&](const CallerGroup& candidate) { return candidate.name == groupName; });
    if (!service || group == groups.end()) {
        return std::nullopt;
    }
    std::vector<RankedHost> ranked;
    for (const std::uint32_t index : view.hostsFor(*service, *group).hosts) {
        const Host& host = view.configuration().hosts[index];
        if (!view.isDraining(host)) {
            ranked.push_back({ hostHash(host.name), static_cast<double>(host.slots), index, 0 });
        }
    }
    if (rankHosts(flow, ranked, 1) == 0) {
        return std::nullopt;
    }
    return view.configuration().hosts[ranked.front().index].name;
}

std::set<std::string> boundGroups(const ConfigurationView& view, const std::string& serviceName)
{
    std::set<std::string> groups;
    for (const Binding& binding : view.configuration().bindings) {
        if (binding.service == serviceName) {
            groups.insert(binding.callerGroup);
        }
    }
    return groups;
}

double changedOwnerShare(
    const ConfigurationView& before, const ConfigurationView& after, const std::string& serviceName)
{
    std::set<std::string> groups = boundGroups(before, serviceName);
    groups.merge(boundGroups(after, serviceName));
    std::size_t moved = 0;
    std::size_t total = 0;
    for (const std::string& group : groups) {
        for (std::uint32_t flow = 0; flow < flowSampleSize; ++flow) {
            const std::uint64_t hash = flowHash({ flow, 1 }, { 0, 1 });
            const auto owner = ownerOf(before, serviceName, group, hash);
            moved += owner != ownerOf(after, serviceName, group, hash) ? 1 : 0;
            ++total;
        }
    }
    return total == 0 ? 0 : static_cast<double>(moved) / static_cast<double>(total);
}

}

std::vector<ServiceChange> planChange(
    const std::shared_ptr<const Configuration>& before, const std::shared_ptr<const Configuration>& after)
{
    const ConfigurationView oldView = makeView(before);
    const ConfigurationView newView = makeView(after);
    std::set<std::string> services;
    for (const auto& configuration : { before, after }) {
        for (const Service& service : configuration->services) {
            services.insert(service.name);
        }
    }
    std::vector<ServiceChange> changes;
    for (const std::string& service : services) {
        const auto oldHosts = hostNames(oldView, service, false);
        const auto newHosts = hostNames(newView, service, false);
        changes.push_back({ service, difference(newHosts, oldHosts), difference(oldHosts, newHosts),
            difference(hostNames(newView, service, true), hostNames(oldView, service, true)),
            changedOwnerShare(oldView, newView, service) });
    }
    return changes;
}

}
