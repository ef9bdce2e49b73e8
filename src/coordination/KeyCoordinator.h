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

// The host that may grant a key under a configuration: the first-ranked one of the coordinating hosts. Null when there
// is none.
std::optional<PeerIdentity> keyCoordinator(
    const std::vector<PeerIdentity>& hosts, const std::string& service, const std::string& key);

// The hosts that coordinate the keys of a service under a configuration: its active hosts, or the draining ones when it
// has no other.
std::vector<PeerIdentity> coordinatingHosts(const Configuration&, const std::string& service);

// Grants each idempotency key of which this host is the coordinator to one request. Before the first grant of a key it
// asks every host that was the key's coordinator under a configuration within the retention to fence the key. A
// coordinator that leaves as planned hands its records to the others, which then need not ask it.
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

    // This process leaves. As soon as the configuration gives its keys to others, it grants none and hands its records
    // on.
    KeyMessages leave(TimePoint);
    KeyMessages retirement(TimePoint, const PeerIdentity& leaving, const wire::KeyRetirement&);
    KeyMessages retirementAnswer(TimePoint, const PeerIdentity& successor, const wire::KeyRetirementAnswer&);

    // Whether a leaving process still has records to hand on.
    bool isHandingOn() const { return this->handover && !this->handover->isComplete(); }

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

    // A coordinator that leaves and hands its records to this process.
    struct Retiring {
        std::uint64_t received { 0 }; // records
        bool complete { false };
        TimePoint lastHeard;
    };

    std::set<PeerIdentity> formerCoordinators(const std::string& service, const std::string& key) const;
    bool isCoordinator(const std::string& service, const std::string& key) const;
    std::uint64_t version() const;
    void establish(TimePoint, const PeerIdentity& holder, const wire::KeyAcquire&, KeyMessages&);
    void grant(TimePoint, const PeerIdentity& holder, const wire::KeyAcquire&, KeyMessages&);
    void ask(TimePoint, Pending&, KeyMessages&);
    void complete(TimePoint, std::map<KeyName, Pending>::iterator, KeyMessages&);
    void handOn(TimePoint, KeyMessages&);
    bool import(TimePoint, const wire::KeyRecord&);
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
    bool leaving { false };
    std::optional<KeyRetirement> handover;
    std::map<PeerIdentity, Retiring> retiring;
    TimePoint nextExpiry;
};

}
