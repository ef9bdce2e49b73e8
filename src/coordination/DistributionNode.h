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

// Decides from whom this process gets the documents and to whom it passes them on. It knows versions and not contents:
// the documents themselves are in ConfigurationStore. No input, output, clock or thread; every call takes the time and
// returns what is to be done.
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

    // A Confirm, or an Update whose documents were offered to the store before.
    struct PeerReport {
        std::uint64_t sequence { 0 };
        HeldVersions held; // by the sender
        std::optional<std::chrono::milliseconds> confirmationAge; // at the sender when it sent; nothing: never
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
        std::uint64_t after { 0 }; // of the question
        std::uint64_t version { 0 }; // of the document; 0: none or unreadable
        std::chrono::seconds wait { 0 }; // of the question
        TimePoint askedAt;
        TimePoint answeredAt;
    };

    // seedPeers: peer addresses to ask until an instance list is known.
    DistributionNode(std::string instance, std::string availabilityZone, std::vector<Endpoint> seedPeers = {});

    // A new instance list is in force.
    void treeChanged(TimePoint, std::shared_ptr<const DistributionTree>);

    // The store took a document, or its history became complete or incomplete.
    DistributionActions heldChanged(TimePoint, const HeldVersions&);

    DistributionActions subscribeReceived(TimePoint, const Subscription&);
    DistributionActions reportReceived(TimePoint, const PeerReport&);

    // The store could not apply a patch of this kind: the whole document is wanted.
    DistributionActions patchRefused(TimePoint, DocumentKind);

    // Call heldChanged() first when the store took the document.
    DistributionActions platformAnswered(TimePoint, const PlatformAnswer&);

    // Call at least every 250 ms.
    DistributionActions tick(TimePoint);

    // True once the documents may be put in force: a peer that takes part has answered, or the platform has and no
    // listed peer did within the silence limit. Until then the platform may have served an outdated document.
    bool joined() const { return this->hasJoined; }

    // When the platform last showed that the configuration held here is current; nothing: never.
    std::optional<TimePoint> confirmedAt() const { return this->confirmed; }

    bool isReader() const;
    std::size_t subscribers() const { return this->subscriptions.size(); }
    std::optional<Endpoint> parent() const;
    const HeldVersions& held() const { return this->heldHere; }

private:
    struct Subscriber {
        Subscription last;
        TimePoint heardAt;
        TimePoint sentAt; // last message to it
        HeldVersions sent; // versions of the last Update to it
        TimePoint updatedAt;
        Duration resendDelay { 0 };
    };

    struct Question {
        std::uint64_t sequence { 0 };
        Endpoint peer;
        TimePoint sentAt;
        bool once { false };
    };

    struct PlatformDuty {
        bool asking { false };
        TimePoint nextAsk;
        std::uint64_t refusedVersion { 0 };
    };

    bool asksPlatform(TimePoint, DocumentKind) const;
    bool wantsParent() const;
    void askIfDue(TimePoint, DistributionActions&);
    void subscribeIfDue(TimePoint, DistributionActions&);
    void probeIfDue(TimePoint, DistributionActions&);
    void changeParentIfSilent(TimePoint, DistributionActions&);
    void adopt(TimePoint, const Endpoint& newParent);
    void sendSubscribe(TimePoint, const Endpoint&, bool once, DistributionActions&);
    void joinIfPossible(TimePoint, DistributionActions&);
    void join(TimePoint, DistributionActions&);
    void confirm(TimePoint now, TimePoint confirmation, DistributionActions&);
    void answer(TimePoint, Subscriber&, DistributionActions&);
    void sendUpdate(TimePoint, Subscriber&, HeldVersions receiver, DistributionActions&) const;
    void followReport(TimePoint, const Endpoint&, TimePoint confirmation, DistributionActions&);
    bool isStale(TimePoint) const;
    bool needsUpdate(TimePoint, const Subscriber&) const;
    void pushUpdates(TimePoint, DistributionActions&);
    void pullFrom(TimePoint, const Subscription&, DistributionActions&);
    const Question* findQuestion(std::uint64_t sequence) const;

    std::string instance;
    std::string availabilityZone;
    std::uint64_t instanceHash;
    std::shared_ptr<const DistributionTree> tree;
    HeldVersions heldHere;
    bool hasJoined { false };
    bool started { false };
    TimePoint startedAt;
    std::optional<TimePoint> firstSubscribe;
    std::optional<TimePoint> confirmed;
    std::optional<TimePoint> confirmPushed; // the confirmation that subscribers were told last

    std::vector<Endpoint> candidates;
    std::optional<Endpoint> parentEndpoint;
    TimePoint parentHeard;
    TimePoint peerHeard; // any peer
    std::size_t candidateIndex { 0 };
    std::size_t probeIndex { 0 };
    TimePoint nextHeartbeat;
    TimePoint nextProbe;
    TimePoint nextPull;
    std::array<bool, 2> wantWhole { false, false };

    std::uint64_t nextSequence { 1 };
    std::array<Question, 16> questions;
    std::vector<Subscriber> subscriptions;
    std::array<PlatformDuty, 2> duties;
};

}
