#pragma once

#include "protocol/Configuration.h"
#include "protocol/InstanceList.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace chicoryferry {

// Hosts selected by bindings, as indices into Configuration::hosts.
struct BoundHosts {
    std::vector<std::uint32_t> hosts;
};

// An immutable snapshot of the configuration in force, the instance list, and earlier configurations within the
// retention, indexed for routing. Shared between threads by std::shared_ptr<const ConfigurationView>.
class ConfigurationView {
public:
    // previous: superseded configurations within the retention, newest first, each reduced as in HistoryRecord.
    ConfigurationView(std::shared_ptr<const Configuration>, std::shared_ptr<const InstanceList>,
        std::vector<std::shared_ptr<const Configuration>> previous);

    const Configuration& configuration() const { return *this->current; }
    const InstanceList& instances() const { return *this->instanceList; }
    const std::vector<std::shared_ptr<const Configuration>>& history() const { return this->previous; }

    // These lookups return null when there is no match.
    const Service* serviceAt(const Endpoint&) const;
    const Service* serviceById(std::uint64_t id) const;
    const Service* serviceByName(std::string_view name) const;
    const Host* hostByName(std::string_view name) const;

    // The caller group with the longest matching prefix; null when none matches.
    const CallerGroup* callerGroupOf(std::uint32_t address) const;

    // Hosts selected by the binding of the service and caller group, in document order; empty without a binding.
    const BoundHosts& hostsFor(const Service&, const CallerGroup&) const;

    // Hosts that serve the service for any caller group, in document order.
    const BoundHosts& hostsOf(const Service&) const;

    // The service that the host serves; null when it serves none.
    const Service* serviceOfHost(std::string_view hostName) const;

    // True when the host is marked draining in the document or leaving in the instance list.
    bool isDraining(const Host&) const;

    // True when the source address belongs to a listed balancer or agent.
    bool isPeerDataAddress(const Endpoint&) const;

private:
    std::shared_ptr<const Configuration> current;
    std::shared_ptr<const InstanceList> instanceList;
    std::vector<std::shared_ptr<const Configuration>> previous;
    std::unordered_map<std::uint64_t, std::uint32_t> serviceIndexByEndpoint;
    std::unordered_map<std::uint64_t, std::uint32_t> serviceIndexById;
    std::unordered_map<std::string_view, std::uint32_t> hostIndexByName;
    std::unordered_map<std::string_view, std::uint32_t> groupIndexByName;
    std::vector<std::vector<BoundHosts>> boundHosts; // [service][caller group]
    std::vector<BoundHosts> serviceHosts; // [service]
    std::vector<std::int32_t> serviceOfHostIndex; // [host], -1 when the host serves none
    std::unordered_set<std::uint64_t> peerDataAddresses;
    std::unordered_set<std::string_view> leavingInstances;
};

}
