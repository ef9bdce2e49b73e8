#pragma once

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

// A message about keys; the recipient may be this process.
struct KeyMessage {
    PeerIdentity to;
    wire::PeerMessage message;
};

using KeyMessages = std::vector<KeyMessage>;

// The host that may grant a key under a configuration: the first-ranked host of the service, active or draining. Null
// when the service has no host.
std::optional<PeerIdentity> keyCoordinator(
    const std::vector<PeerIdentity>& serviceHosts, const std::string& service, const std::string& key);

// The hosts of a service under a configuration, for any caller group.
std::vector<PeerIdentity> hostsOfService(const Configuration&, const std::string& service);

// Grants each idempotency key of which this host is the coordinator to one request. Before the first grant of a key it
// asks every host that was the key's coordinator under a configuration within the retention to fence the key.
class KeyCoordinator {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    explicit KeyCoordinator(PeerIdentity self);

    // ownService: the service of the own host; empty: none. historyComplete: the view's history has no gap.
    KeyMessages viewChanged(
        TimePoint, std::shared_ptr<const ConfigurationView>, std::string ownService, bool historyComplete);

    KeyMessages acquire(TimePoint, const PeerIdentity& holder, const wire::KeyAcquire&);
    KeyMessages finish(TimePoint, const PeerIdentity& holder, const wire::KeyFinish&);
    KeyMessages fence(TimePoint, const PeerIdentity& asking, const wire::KeyFence&);
    KeyMessages fenceAnswer(TimePoint, const PeerIdentity& former, const wire::KeyFenceAnswer&);

    void holderRestarted(TimePoint, const PeerIdentity& current);

    // Repeats unanswered questions and refuses what cannot be established in time.
    KeyMessages tick(TimePoint);
    TimePoint nextTimeout() const;

    std::size_t recordCount() const { return this->records.size(); }

private:
    struct HostSet {
        std::shared_ptr<const Configuration> configuration;
        std::vector<PeerIdentity> hosts;
    };

    // An acquisition that waits for former coordinators.
    struct Pending {
        PeerIdentity holder;
        wire::KeyAcquire request;
        std::uint64_t query { 0 };
        std::uint64_t version { 0 };
        std::set<PeerIdentity> unanswered;
        TimePoint started;
        TimePoint lastAsked;
    };

    using KeyName = std::pair<std::string, std::string>; // service, key

    std::set<PeerIdentity> formerCoordinators(const std::string& service, const std::string& key) const;
    bool isCoordinator(const std::string& service, const std::string& key) const;
    std::uint64_t version() const;
    void establish(TimePoint, const PeerIdentity& holder, const wire::KeyAcquire&, KeyMessages&);
    void grant(TimePoint, const PeerIdentity& holder, const wire::KeyAcquire&, KeyMessages&);
    void ask(TimePoint, Pending&, KeyMessages&);
    void answerRecord(const PeerIdentity& holder, const wire::KeyAcquire&, const IdempotencyRecord&, KeyMessages&);

    PeerIdentity self;
    std::shared_ptr<const ConfigurationView> view;
    std::string ownService;
    std::vector<PeerIdentity> currentHosts;
    std::vector<HostSet> formerHosts; // newest first
    bool historyComplete { false };
    IdempotencyRecords records;
    std::map<KeyName, Pending> pending;
    std::uint64_t nextQuery { 1 };
    TimePoint nextExpiry;
};

}
