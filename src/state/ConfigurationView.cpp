#include "state/ConfigurationView.h"

#include "protocol/LabelIndex.h"

#include <algorithm>

namespace chicoryferry {

namespace {

const BoundHosts noHosts;

std::uint64_t endpointKey(const Endpoint& endpoint)
{
    return (std::uint64_t { endpoint.address } << 16U) | endpoint.port;
}

// [service][caller group]
std::vector<std::vector<BoundHosts>> bindHosts(const Configuration& configuration)
{
    std::unordered_map<std::string_view, std::size_t> services;
    for (std::size_t index = 0; index < configuration.services.size(); ++index) {
        services.emplace(configuration.services[index].name, index);
    }
    std::unordered_map<std::string_view, std::size_t> groups;
    for (std::size_t index = 0; index < configuration.callerGroups.size(); ++index) {
        groups.emplace(configuration.callerGroups[index].name, index);
    }
    std::vector<std::vector<BoundHosts>> bound(
        configuration.services.size(), std::vector<BoundHosts>(configuration.callerGroups.size()));
    const LabelIndex labels(configuration.hosts);
    for (const Binding& binding : configuration.bindings) {
        const auto service = services.find(binding.service);
        const auto group = groups.find(binding.callerGroup);
        if (service != services.end() && group != groups.end()) {
            const std::vector<std::uint32_t> selected = labels.select(binding.selector);
            std::vector<std::uint32_t>& hosts = bound[service->second][group->second].hosts;
            hosts.insert(hosts.end(), selected.begin(), selected.end());
        }
    }
    return bound;
}

BoundHosts mergeHosts(const std::vector<BoundHosts>& byGroup)
{
    BoundHosts merged;
    for (const BoundHosts& bound : byGroup) {
        merged.hosts.insert(merged.hosts.end(), bound.hosts.begin(), bound.hosts.end());
    }
    std::sort(merged.hosts.begin(), merged.hosts.end());
    merged.hosts.erase(std::unique(merged.hosts.begin(), merged.hosts.end()), merged.hosts.end());
    return merged;
}

}

ConfigurationView::ConfigurationView(std::shared_ptr<const Configuration> configuration,
    std::shared_ptr<const InstanceList> instances, std::vector<std::shared_ptr<const Configuration>> previousVersions)
    : current(std::move(configuration))
    , instanceList(std::move(instances))
    , previous(std::move(previousVersions))
    , boundHosts(bindHosts(*this->current))
    , serviceOfHostIndex(this->current->hosts.size(), -1)
{
    for (std::uint32_t host = 0; host < this->current->hosts.size(); ++host) {
        this->hostIndexByName.emplace(this->current->hosts[host].name, host);
        this->peerDataAddresses.insert(endpointKey(this->current->hosts[host].dataAddress));
    }
    for (std::uint32_t group = 0; group < this->current->callerGroups.size(); ++group) {
        this->groupIndexByName.emplace(this->current->callerGroups[group].name, group);
    }
    for (std::uint32_t index = 0; index < this->current->services.size(); ++index) {
        const Service& service = this->current->services[index];
        this->serviceIndexByEndpoint.emplace(endpointKey(service.endpoint), index);
        this->serviceIndexById.emplace(service.id, index);
        this->serviceHosts.push_back(mergeHosts(this->boundHosts[index]));
        for (const std::uint32_t host : this->serviceHosts.back().hosts) {
            this->serviceOfHostIndex[host] = static_cast<std::int32_t>(index);
        }
    }
    for (const Instance& instance : this->instanceList->instances) {
        this->peerDataAddresses.insert(endpointKey(instance.dataAddress));
        if (instance.state == InstanceState::Leaving) {
            this->leavingInstances.insert(instance.name);
        }
    }
}

const Service* ConfigurationView::serviceAt(const Endpoint& endpoint) const
{
    const auto found = this->serviceIndexByEndpoint.find(endpointKey(endpoint));
    return found == this->serviceIndexByEndpoint.end() ? nullptr : &this->current->services[found->second];
}

const Service* ConfigurationView::serviceById(std::uint64_t id) const
{
    const auto found = this->serviceIndexById.find(id);
    return found == this->serviceIndexById.end() ? nullptr : &this->current->services[found->second];
}

const Service* ConfigurationView::serviceByName(std::string_view name) const
{
    return this->serviceById(serviceId(std::string(name)));
}

const Host* ConfigurationView::hostByName(std::string_view name) const
{
    const auto found = this->hostIndexByName.find(name);
    return found == this->hostIndexByName.end() ? nullptr : &this->current->hosts[found->second];
}

const CallerGroup* ConfigurationView::callerGroupOf(std::uint32_t address) const
{
    const CallerGroup* best = nullptr;
    int bestLength = -1;
    for (const CallerGroup& group : this->current->callerGroups) {
        for (const Prefix& prefix : group.prefixes) {
            if (prefix.length > bestLength && prefix.contains(address)) {
                best = &group;
                bestLength = prefix.length;
            }
        }
    }
    return best;
}

const BoundHosts& ConfigurationView::hostsFor(const Service& service, const CallerGroup& callers) const
{
    const auto serviceIndex = this->serviceIndexById.find(service.id);
    const auto group = this->groupIndexByName.find(callers.name);
    if (serviceIndex == this->serviceIndexById.end() || group == this->groupIndexByName.end()) {
        return noHosts;
    }
    return this->boundHosts[serviceIndex->second][group->second];
}

const BoundHosts& ConfigurationView::hostsOf(const Service& service) const
{
    const auto found = this->serviceIndexById.find(service.id);
    return found == this->serviceIndexById.end() ? noHosts : this->serviceHosts[found->second];
}

const Service* ConfigurationView::serviceOfHost(std::string_view hostName) const
{
    const auto found = this->hostIndexByName.find(hostName);
    if (found == this->hostIndexByName.end() || this->serviceOfHostIndex[found->second] < 0) {
        return nullptr;
    }
    return &this->current->services[static_cast<std::size_t>(this->serviceOfHostIndex[found->second])];
}

bool ConfigurationView::isDraining(const Host& host) const
{
    return host.state == HostState::Draining || this->leavingInstances.contains(host.name);
}

bool ConfigurationView::isPeerDataAddress(const Endpoint& endpoint) const
{
    return this->peerDataAddresses.contains(endpointKey(endpoint));
}

}
