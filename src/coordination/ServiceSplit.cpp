#include "coordination/ServiceSplit.h"

#include "coordination/RendezvousRanking.h"
#include "support/Overloaded.h"

#include <variant>

namespace chicoryferry {

namespace {

// Rendezvous hashing moves few flows to another service when weights change, so that another balancer usually still
// searches a flow at the service that has it.
std::vector<std::string_view> rankWeighted(const std::vector<WeightedService>& services, const FlowKey& key)
{
    std::vector<RankedHost> ranked;
    ranked.reserve(services.size());
    for (std::uint32_t index = 0; index < services.size(); ++index) {
        if (services[index].weight > 0) {
            ranked.push_back(
                { hostHash(services[index].service), static_cast<double>(services[index].weight), index, 0 });
        }
    }
    rankHosts(flowHash(key.caller, key.service), ranked, ranked.size());
    std::vector<std::string_view> names;
    names.reserve(ranked.size());
    for (const RankedHost& item : ranked) {
        names.emplace_back(services[item.index].service);
    }
    return names;
}

}

std::vector<std::string_view> rankServices(const RouteTarget& target, const FlowKey& key)
{
    return std::visit(Overloaded {
                          [](const std::string& service) { return std::vector<std::string_view> { service }; },
                          [&](const std::vector<WeightedService>& services) { return rankWeighted(services, key); },
                      },
        target);
}

}
