#pragma once

#include "coordination/RendezvousRanking.h"
#include "protocol/Endpoint.h"

#include <cstdint>
#include <memory>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace chicoryferry {

namespace wire {
class EnvelopeHeader;
}

class ConfigurationView;
struct CallerGroup;
struct PacketView;
struct Service;

// Why a packet is not forwarded.
enum class RoutingFault {
    NoService,
    NoGroup,
    NoHost,
};

// The counter label of a fault.
std::string_view routingFaultName(RoutingFault);

// Chooses the candidates for packets from the configuration alone, so that every process with the same view gives the
// same answer. Holds buffers of its own: one object a thread. Routing allocates nothing once the buffers have grown.
class PacketRouter {
public:
    explicit PacketRouter(std::shared_ptr<const ConfigurationView>);

    // Fills the header with the service, the version and the ordered candidates, the first one addressed. Returns the
    // data address of the first candidate.
    std::variant<Endpoint, RoutingFault> route(const PacketView&, wire::EnvelopeHeader&);

private:
    struct Target {
        Endpoint dataAddress;
        std::uint64_t incarnation { 0 };
        bool active { false };
    };

    // Hosts of one service and caller group under one configuration.
    struct HostSet {
        std::vector<RankedHost> hosts; // index refers to targets
        std::vector<Target> targets;
    };

    struct Table {
        HostSet current;
        std::vector<HostSet> earlier; // distinct host sets of previous versions, newest first
    };

    static HostSet makeHostSet(const ConfigurationView&, const Service&, const CallerGroup&);
    static bool sameHosts(const HostSet&, const HostSet&);

    const Table* tableFor(const Service&, const CallerGroup&);
    void buildTable(const Service&, const CallerGroup&, Table&);
    void chooseCandidates(std::uint64_t flow, const Table&);
    void addCandidate(const Target&);
    bool isChosen(const Target&) const;

    std::shared_ptr<const ConfigurationView> view;
    std::vector<std::shared_ptr<const ConfigurationView>> earlierViews;
    std::unordered_map<std::uint64_t, Table> tables; // by service and caller group
    std::vector<RankedHost> scratch;
    std::vector<Target> chosen;
};

}
