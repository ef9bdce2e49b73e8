#pragma once

#include "coordination/KeyMessage.h"
#include "coordination/KeyRetirement.h"
#include "coordination/PeerIdentity.h"
#include "messages.pb.h"
#include "state/IdempotencyRecords.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chicoryferry {

class ConfigurationView;
struct Configuration;

// Returns the host that may grant a key: the one that ranks first for the key among `hosts`, the coordinating hosts of
// a configuration. Null when `hosts` is empty.
std::optional<PeerIdentity> keyCoordinator(
    const std::vector<PeerIdentity>& hosts, const std::string& service, const std::string& key);

// Returns the hosts that coordinate the keys of a service under a configuration: the service's active hosts, or its
// draining hosts when it has no active one.
std::vector<PeerIdentity> coordinatingHosts(const Configuration&, const std::string& service);

// Grants each idempotency key that the local host coordinates to one request. Before the first grant of a key, every
// host that was the key's coordinator under a configuration within the retention period must fence the key. A
// coordinator that shuts down in an orderly way transfers its records to its successors, which then need not ask it for
// fences.
class KeyCoordinator {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit KeyCoordinator(PeerIdentity self);

    // localService: the service of the local host, empty when it has none. historyComplete: the view's history has no
    // gap.
    KeyMessages viewChanged(
        TimePoint, std::shared_ptr<const ConfigurationView>, std::string localService, bool historyComplete);

    KeyMessages acquire(TimePoint, const PeerIdentity& holder, const wire::KeyAcquire&);
    KeyMessages finish(TimePoint, const PeerIdentity& holder, const wire::KeyFinish&);
    KeyMessages fence(TimePoint, const PeerIdentity& asking, const wire::KeyFence&);
    KeyMessages fenceAnswer(TimePoint, const PeerIdentity& former, const wire::KeyFenceAnswer&);

    void holderRestarted(TimePoint, const PeerIdentity& current);

    // Starts an orderly shutdown. Once the configuration assigns the local host's keys to other hosts, the coordinator
    // grants no more keys and transfers its records to those hosts.
    KeyMessages leave(TimePoint);
    KeyMessages retirement(TimePoint, const PeerIdentity& leaving, const wire::KeyRetirement&);
    KeyMessages retirementAnswer(TimePoint, const PeerIdentity& successor, const wire::KeyRetirementAnswer&);

    // Whether the transfer of the records to the successors has started and is not complete.
    bool isTransferringRecords() const { return this->recordTransfer && !this->recordTransfer->isComplete(); }

    // Resends unanswered fence requests and record transfers, refuses acquisitions whose former coordinators do not
    // answer in time, and expires records.
    KeyMessages tick(TimePoint);
    TimePoint nextTimeout() const;

    std::size_t recordCount() const { return this->records.size(); }

private:
    struct HostSet {
        std::shared_ptr<const Configuration> configuration;
        std::vector<PeerIdentity> hosts;
    };

    // An acquisition that waits for the fences of former coordinators.
    struct PendingAcquisition {
        PeerIdentity holder;
        wire::KeyAcquire request;
        std::uint64_t query { 0 };
        std::uint64_t version { 0 };
        std::set<PeerIdentity> unanswered;
        TimePoint started;
        TimePoint lastSent;
    };

    using KeyName = std::pair<std::string, std::string>; // service, key

    // A leaving coordinator that transfers its records to the local host.
    struct RetiringCoordinator {
        std::uint64_t received { 0 }; // number of records
        bool complete { false };
        TimePoint lastHeard;
    };

    std::set<PeerIdentity> formerCoordinators(const std::string& service, const std::string& key) const;
    bool isCoordinator(const std::string& service, const std::string& key) const;
    std::uint64_t version() const;
    void startAcquisition(TimePoint, const PeerIdentity& holder, const wire::KeyAcquire&, KeyMessages&);
    void grant(TimePoint, const PeerIdentity& holder, const wire::KeyAcquire&, KeyMessages&);
    void sendFences(TimePoint, PendingAcquisition&, KeyMessages&);
    void completeAcquisition(TimePoint, std::map<KeyName, PendingAcquisition>::iterator, KeyMessages&);
    void transferRecords(TimePoint, KeyMessages&);
    bool importRecord(TimePoint, const wire::KeyRecord&);
    void replyFromRecord(const PeerIdentity& holder, const wire::KeyAcquire&, const IdempotencyRecord&, KeyMessages&);

    PeerIdentity self;
    std::shared_ptr<const ConfigurationView> view;
    std::string localService;
    std::vector<PeerIdentity> currentHosts;
    std::vector<HostSet> formerHosts; // newest first
    bool historyComplete { false };
    IdempotencyRecords records;
    std::map<KeyName, PendingAcquisition> pending;
    std::uint64_t nextQuery { 1 };
    bool leaving { false };
    std::optional<KeyRetirement> recordTransfer;
    std::map<PeerIdentity, RetiringCoordinator> retiringCoordinators;
    TimePoint nextExpiry;
};

}
