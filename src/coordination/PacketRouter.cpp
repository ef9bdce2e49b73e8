#include "coordination/PacketRouter.h"

#include "messages.pb.h"
#include "protocol/Envelope.h"
#include "protocol/PacketView.h"
#include "state/ConfigurationView.h"

#include <algorithm>
#include <array>

namespace chicoryferry {

namespace {

// Maximum number of distinct earlier host sets that are kept for each service and caller group. Most changes do not
// affect a given service, so that few distinct sets fall within the retention period.
constexpr std::size_t maximumEarlierSets = 3;

// Maximum number of earlier versions that are searched for distinct host sets; bounds the cost of a view change.
constexpr std::size_t maximumEarlierVersions = 16;

}

std::string_view routingFaultName(RoutingFault fault)
{
    constexpr std::array<std::string_view, 3> names { "no_service", "no_group", "no_host" };
    return names[static_cast<std::size_t>(fault)];
}

PacketRouter::PacketRouter(std::shared_ptr<const ConfigurationView> currentView)
    : view(std::move(currentView))
{
    const auto& history = this->view->history();
    const std::size_t count = std::min(history.size(), maximumEarlierVersions);
    // Only the addresses and incarnations of the hosts of earlier versions are used, which need no instance list.
    const auto emptyInstanceList = std::make_shared<const InstanceList>();
    this->earlierViews.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        this->earlierViews.push_back(std::make_shared<const ConfigurationView>(
            history[index], emptyInstanceList, std::vector<std::shared_ptr<const Configuration>> {}));
    }
    this->candidates.reserve(maximumCandidates);
}

PacketRouter::HostSet PacketRouter::makeHostSet(
    const ConfigurationView& source, const Service& service, const CallerGroup& callers)
{
    HostSet set;
    for (const std::uint32_t index : source.hostsFor(service, callers).hosts) {
        const Host& host = source.configuration().hosts[index];
        const auto target = static_cast<std::uint32_t>(set.targets.size());
        set.hosts.push_back({ hostHash(host.name), static_cast<double>(host.slots), target, 0 });
        set.targets.push_back({ host.dataAddress, host.incarnation, !source.isDraining(host) });
    }
    return set;
}

bool PacketRouter::haveSameTargets(const HostSet& left, const HostSet& right)
{
    const auto equal = [](const Target& first, const Target& second) {
        return first.dataAddress == second.dataAddress && first.incarnation == second.incarnation;
    };
    return std::equal(left.targets.begin(), left.targets.end(), right.targets.begin(), right.targets.end(), equal);
}

void PacketRouter::buildTable(const Service& service, const CallerGroup& callers, CandidateTable& table)
{
    table.current = makeHostSet(*this->view, service, callers);
    for (const auto& earlier : this->earlierViews) {
        if (table.earlier.size() == maximumEarlierSets) {
            break;
        }
        HostSet set = makeHostSet(*earlier, service, callers);
        const HostSet& newer = table.earlier.empty() ? table.current : table.earlier.back();
        if (!set.hosts.empty() && !haveSameTargets(set, newer)) {
            table.earlier.push_back(std::move(set));
        }
    }
}

const PacketRouter::CandidateTable* PacketRouter::tableFor(const Service& service, const CallerGroup& callers)
{
    const auto group = static_cast<std::uint64_t>(&callers - this->view->configuration().callerGroups.data());
    const auto index = static_cast<std::uint64_t>(&service - this->view->configuration().services.data());
    const auto [entry, inserted] = this->tables.try_emplace((index << 32U) | group);
    if (inserted) {
        // Built on first use: a node sees packets for only some of the services while one version is in use.
        this->buildTable(service, callers, entry->second);
    }
    return &entry->second;
}

bool PacketRouter::isCandidate(const Target& target) const
{
    return std::any_of(this->candidates.begin(), this->candidates.end(), [&](const Target& other) {
        return other.dataAddress == target.dataAddress && other.incarnation == target.incarnation;
    });
}

void PacketRouter::addCandidate(const Target& target)
{
    if (this->candidates.size() < static_cast<std::size_t>(maximumCandidates) && !this->isCandidate(target)) {
        this->candidates.push_back(target);
    }
}

void PacketRouter::chooseCandidates(std::uint64_t flow, const CandidateTable& table)
{
    this->candidates.clear();
    this->rankedHosts.assign(table.current.hosts.begin(), table.current.hosts.end());
    const std::size_t ranked = rankHosts(flow, this->rankedHosts, this->rankedHosts.size());
    const auto targetAt
        = [&](std::size_t rank) -> const Target& { return table.current.targets[this->rankedHosts[rank].index]; };
    for (std::size_t rank = 0; rank < ranked; ++rank) {
        if (targetAt(rank).active) {
            this->addCandidate(targetAt(rank));
            break;
        }
    }
    // Reserve the last entries of the list for the hosts that own the flow under earlier versions.
    const std::size_t currentLimit = static_cast<std::size_t>(maximumCandidates) - table.earlier.size();
    for (std::size_t rank = 0; rank < ranked && this->candidates.size() < currentLimit; ++rank) {
        this->addCandidate(targetAt(rank));
    }
    for (const HostSet& earlier : table.earlier) {
        this->rankedHosts.assign(earlier.hosts.begin(), earlier.hosts.end());
        rankHosts(flow, this->rankedHosts, 1);
        this->addCandidate(earlier.targets[this->rankedHosts.front().index]);
    }
}

std::variant<Endpoint, RoutingFault> PacketRouter::route(const PacketView& packet, wire::EnvelopeHeader& header)
{
    const Service* service = this->view->serviceAt(packet.destination);
    if (!service) {
        return RoutingFault::NoService;
    }
    const CallerGroup* callers = this->view->callerGroupOf(packet.source.address);
    if (!callers) {
        return RoutingFault::NoGroup;
    }
    this->chooseCandidates(flowHash(packet.source, packet.destination), *this->tableFor(*service, *callers));
    if (this->candidates.empty()) {
        return RoutingFault::NoHost;
    }
    header.Clear();
    header.set_service_id(service->id);
    header.set_configuration_version(this->view->configuration().version);
    for (const Target& target : this->candidates) {
        wire::Candidate* candidate = header.add_candidates();
        candidate->set_address(target.dataAddress.address);
        candidate->set_port(target.dataAddress.port);
        candidate->set_incarnation(target.incarnation);
    }
    return this->candidates.front().dataAddress;
}

}
