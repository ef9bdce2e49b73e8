#pragma once

#include "coordination/DistributionAction.h"
#include "coordination/HeldVersions.h"
#include "protocol/Endpoint.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

class DistributionTree;

// Selects the peers from which this process receives the platform's documents and the subscribers to which it forwards
// them. It handles versions only; ConfigurationStore holds the contents. It performs no I/O, reads no clock and starts
// no thread: every call takes the current time and returns the actions to perform.
class DistributionNode {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::steady_clock::duration;

    static constexpr std::chrono::milliseconds heartbeatInterval { 1000 };
    static constexpr std::chrono::milliseconds silenceLimit { 2000 };
    static constexpr std::chrono::milliseconds subscriberLifetime { 3500 };
    static constexpr std::size_t maximumSubscribers = 64;

    struct Subscription {
        Endpoint peer;
        std::uint64_t sequence { 0 };
        HeldVersions held;
        bool once { false };
        bool wholeConfiguration { false };
        bool wholeInstances { false };
    };

    // A received Confirm, or a received Update whose documents have already been offered to the store.
    struct PeerReport {
        std::uint64_t sequence { 0 };
        HeldVersions held; // versions that the sender holds
        std::optional<std::chrono::milliseconds> confirmationAge; // when the sender sent it; nullopt: never confirmed
    };

    enum class PlatformResult {
        Accepted,
        Unchanged,
        NotNewer,
        Invalid,
        Failed,
    };

    struct PlatformAnswer {
        DocumentKind kind { DocumentKind::Configuration };
        PlatformResult result { PlatformResult::Failed };
        std::uint64_t after { 0 }; // as in the QueryPlatform
        std::uint64_t version { 0 }; // of the document; 0: no document, or unreadable
        std::chrono::seconds wait { 0 }; // as in the QueryPlatform
        TimePoint requestedAt;
        TimePoint answeredAt;
    };

    // seedPeers: peer addresses to contact until an instance list is known.
    DistributionNode(std::string instance, std::string availabilityZone, std::vector<Endpoint> seedPeers = {});

    // Call when a new instance list takes effect.
    void treeChanged(TimePoint, std::shared_ptr<const DistributionTree>);

    // Call when the store accepts a document, or when its history becomes complete or incomplete.
    DistributionActions heldVersionsChanged(TimePoint, const HeldVersions&);

    DistributionActions subscribeReceived(TimePoint, const Subscription&);
    DistributionActions reportReceived(TimePoint, const PeerReport&);

    // Call when the store could not apply a patch of this kind; requests the whole document instead.
    DistributionActions patchFailed(TimePoint, DocumentKind);

    // If the store accepted the document, call heldVersionsChanged() first.
    DistributionActions platformAnswered(TimePoint, const PlatformAnswer&);

    // Call at least every 250 ms.
    DistributionActions tick(TimePoint);

    // True once the documents may be applied: a peer that has itself joined has answered and holds no newer
    // document, or the platform has answered and no listed peer did within silenceLimit. Until then the platform may
    // have served an outdated document.
    bool joined() const { return this->hasJoined; }

    // Last time at which the platform confirmed that the configuration held here is current; nullopt: never.
    std::optional<TimePoint> confirmedAt() const { return this->lastConfirmation; }

    bool isReader() const;
    std::size_t subscribers() const { return this->subscriptions.size(); }
    std::optional<Endpoint> parent() const;
    const HeldVersions& held() const { return this->ownVersions; }

private:
    struct Subscriber {
        Subscription last;
        TimePoint lastHeardAt;
        TimePoint sentAt; // last message to the subscriber
        HeldVersions sent; // versions in the last Update to the subscriber
        TimePoint updatedAt;
        Duration resendDelay { 0 };
    };

    struct PendingSubscribe {
        std::uint64_t sequence { 0 };
        Endpoint peer;
        TimePoint sentAt;
        bool once { false };
    };

    struct PlatformPoll {
        bool inProgress { false };
        TimePoint nextPoll;
        std::uint64_t refusedVersion { 0 };
    };

    bool shouldPollPlatform(TimePoint, DocumentKind) const;
    bool wantsParent() const;
    void pollPlatformIfDue(TimePoint, DistributionActions&);
    void subscribeIfDue(TimePoint, DistributionActions&);
    void probeIfDue(TimePoint, DistributionActions&);
    void changeParentIfSilent(TimePoint, DistributionActions&);
    void setParent(TimePoint, const Endpoint& newParent);
    void sendSubscribe(TimePoint, const Endpoint&, bool once, DistributionActions&);
    void joinIfPossible(TimePoint, DistributionActions&);
    void join(TimePoint, DistributionActions&);
    void confirm(TimePoint now, TimePoint confirmation, DistributionActions&);
    void replyTo(TimePoint, Subscriber&, DistributionActions&);
    void sendUpdate(TimePoint, Subscriber&, HeldVersions receiver, DistributionActions&) const;
    void reconsiderParent(TimePoint, const Endpoint&, TimePoint confirmation, DistributionActions&);
    bool isStale(TimePoint) const;
    bool needsUpdate(TimePoint, const Subscriber&) const;
    void pushUpdates(TimePoint, DistributionActions&);
    void pullFrom(TimePoint, const Subscription&, DistributionActions&);
    const PendingSubscribe* findPendingSubscribe(std::uint64_t sequence) const;

    std::string instance;
    std::string availabilityZone;
    std::uint64_t instanceHash;
    std::shared_ptr<const DistributionTree> tree;
    HeldVersions ownVersions;
    bool hasJoined { false };
    bool started { false };
    TimePoint startedAt;
    std::optional<TimePoint> firstSubscribe;
    std::optional<TimePoint> lastConfirmation;
    std::optional<TimePoint> lastPushedConfirmation; // last confirmation time sent to subscribers

    std::vector<Endpoint> candidates;
    std::optional<Endpoint> parentEndpoint;
    TimePoint parentLastHeard;
    TimePoint anyPeerLastHeard; // last report of any peer, at first the time of the first Subscribe
    std::size_t candidateIndex { 0 };
    std::size_t probeIndex { 0 };
    TimePoint nextHeartbeat;
    TimePoint nextProbe;
    TimePoint nextPull;
    std::array<bool, 2> wholeDocumentWanted { false, false };

    std::uint64_t nextSequence { 1 };
    std::array<PendingSubscribe, 16> pendingSubscribes;
    std::vector<Subscriber> subscriptions;
    std::array<PlatformPoll, 2> platformPolls;
};

}
