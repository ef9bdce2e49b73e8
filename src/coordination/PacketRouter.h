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

// Reason why a packet is not forwarded.
enum class RoutingFault {
    NoService,
    NoGroup,
    NoHost,
};

// Metric label of a fault.
std::string_view routingFaultName(RoutingFault);

// Chooses the candidates for packets from the configuration alone, so that every process with the same view chooses the
// same ones. Not thread-safe, because it reuses internal buffers: use one object per thread. Routing allocates no
// memory once the buffers have grown.
class PacketRouter {
public:
    explicit PacketRouter(std::shared_ptr<const ConfigurationView>);

    // Fills the header with the service, the configuration version and the ordered candidates, with the first one as
    // current. Returns the data address of the first candidate.
    std::variant<Endpoint, RoutingFault> route(const PacketView&, wire::EnvelopeHeader&);

private:
    struct Target {
        Endpoint dataAddress;
        std::uint64_t incarnation { 0 };
        bool active { false };
    };

    // Hosts of one service and caller group under one configuration.
    struct HostSet {
        std::vector<RankedHost> hosts; // RankedHost::index is an index into targets
        std::vector<Target> targets;
    };

    struct CandidateTable {
        HostSet current;
        std::vector<HostSet> earlier; // distinct host sets of previous versions, newest first
    };

    static HostSet makeHostSet(const ConfigurationView&, const Service&, const CallerGroup&);
    static bool haveSameTargets(const HostSet&, const HostSet&);

    const CandidateTable* tableFor(const Service&, const CallerGroup&);
    void buildTable(const Service&, const CallerGroup&, CandidateTable&);
    void chooseCandidates(std::uint64_t flow, const CandidateTable&);
    void addCandidate(const Target&);
    bool isCandidate(const Target&) const;

    std::shared_ptr<const ConfigurationView> view;
    std::vector<std::shared_ptr<const ConfigurationView>> earlierViews;
    std::unordered_map<std::uint64_t, CandidateTable> tables; // key: service index << 32 | caller group index
    std::vector<RankedHost> rankedHosts;
    std::vector<Target> candidates;
};

}
