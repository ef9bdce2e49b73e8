#pragma once

#include "protocol/Configuration.h"
#include "state/ConfigurationView.h"

#include <memory>
#include <string>
#include <vector>

namespace chicoryferry::testing {

// A host of a service. The number determines its name, zone and addresses.
inline Host makeHost(const std::string& service, unsigned number, HostState state = HostState::Active)
{
    Host host;
    host.name = service + "-" + std::to_string(number);
    host.incarnation = 1;
    host.availabilityZone = "zone-" + std::to_string(number % 3);
    host.dataAddress = { 0x7f000001, static_cast<std::uint16_t>(7000 + number) };
    host.peerAddress = { 0x7f000001, static_cast<std::uint16_t>(8000 + number) };
    host.slots = 2;
    host.state = state;
    host.labels = { { "service", service } };
    return host;
}

// The service "job" at 10.1.0.1:80 for callers in 10.9.0.0/16, served by the hosts labelled service=job.
inline std::shared_ptr<Configuration> makeConfiguration(std::uint64_t version, std::vector<Host> hosts)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = version;
    Service service;
    service.name = "job";
    service.id = serviceId(service.name);
    service.endpoint = { 0x0a010001, 80 };
    configuration->services.push_back(service);
    configuration->callerGroups.push_back({ "benches", { { 0x0a090000, 16 } } });
    configuration->bindings.push_back({ "job", "benches", Selector::parse("service=job") });
    configuration->hosts = std::move(hosts);
    return configuration;
}

// A view without instance list entries.
inline std::shared_ptr<const ConfigurationView> makeView(
    std::shared_ptr<const Configuration> configuration, std::vector<std::shared_ptr<const Configuration>> previous = {})
{
    return std::make_shared<const ConfigurationView>(
        std::move(configuration), std::make_shared<const InstanceList>(), std::move(previous));
}

}
