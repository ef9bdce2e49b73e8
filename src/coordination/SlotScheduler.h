#pragma once

#include "coordination/PeerIdentity.h"
#include "coordination/RecentHostWork.h"
#include "coordination/RunResult.h"

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chicoryferry {

// Identifies a request across all holders.
struct OfferKey {
    PeerIdentity holder;
    std::uint64_t request { 0 };

    auto operator<=>(const OfferKey&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

// A host's view of a request that is waiting at a holder.
struct KnownOffer {
    OfferKey key;
    std::string service;
    std::chrono::steady_clock::time_point deadline; // on the local host's clock
    std::chrono::microseconds expectedRun { 0 }; // time that the holder reserves for the run before the deadline
    bool longRunning { false };
};

// A claim for a request, made for a free slot.
struct SlotClaim {
    OfferKey key;
    std::uint64_t claim { 0 };
};

// How a claimer handles a grant.
enum class GrantVerdict {
    Run, // run the request now; the slot is occupied until runEnded()
    Expired, // the claim is older than grantValidity: report to the holder that the request was not run
    Withdrawn, // the claim was abandoned before the grant arrived: report to the holder that the request was not run
    Ignore, // a repeated grant, or a claim that this process has no record of: report no outcome
};

// The host's side of placement: the known offers, the slots, and the claims made for free slots. Free slots are
// computed from the local host's count of claims and runs, never from reported load.
class SlotScheduler {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // A grant is valid for this long after its claim, so that a process that was suspended does not start stale work.
    static constexpr std::chrono::milliseconds grantValidity { 200 };

    explicit SlotScheduler(PeerIdentity self);

    // Sets the slots of the backend server. When the count is lowered, runs in progress above it continue.
    void setSlots(unsigned count) { this->slots = count; }

    // Limits the usable slots to one and pauses claiming after the backend server refused or shed a run. After the
    // pause, the limit rises by one with each run that ends.
    void backendResult(TimePoint, const RunResult&);

    // Enables or disables claiming. Disabling also abandons the outstanding claims.
    void setClaiming(bool claiming);
    bool isClaiming() const { return this->claiming; }

    // Adds or renews an offer. A new offer of a long request is claimed after a delay proportional to the local host's
    // recent busy time, so that the least busy host claims first.
    void offerReceived(TimePoint, const KnownOffer&);
    void offerWithdrawn(const OfferKey&);

    // Removes the offers and claims of a holder that restarted or stopped responding. Returns its runs in progress,
    // whose slots are free from then on.
    std::vector<SlotClaim> removeHolder(const PeerIdentity&);

    // The other agents that are holders of a known offer or of an active claim.
    std::vector<PeerIdentity> holders() const;

    // Removes every offer and abandons every claim that is for a service other than this one.
    void retainOnlyService(const std::string& service);

    // Claims the most urgent offers for the free slots. The caller must grant claims of the local host's requests at
    // once.
    std::vector<SlotClaim> claimOffers(TimePoint);

    GrantVerdict grantReceived(TimePoint, const OfferKey&, std::uint64_t claim);
    void claimRejected(TimePoint, const OfferKey&, std::uint64_t claim);

    // Handles a cancellation by the holder. Returns true when a run in progress has to be stopped; its slot is free
    // from then on.
    bool cancel(const OfferKey&, std::uint64_t claim);

    // Returns false when the claim is not running.
    bool runEnded(TimePoint, const OfferKey&, std::uint64_t claim);

    // Removes expired offers and claims.
    void tick(TimePoint);
    TimePoint nextTimeout() const;

    unsigned usableSlots() const;
    unsigned freeSlots() const;
    std::size_t offerCount() const { return this->offers.size(); }
    std::size_t runCount() const;

private:
    struct Offer {
        KnownOffer offer;
        TimePoint renewed;
        TimePoint notBefore; // earliest time of a claim
        bool claimed { false };
    };

    struct ActiveClaim {
        OfferKey key;
        TimePoint claimed;
        bool running { false };
        bool longRunning { false };
        std::chrono::microseconds expectedRun { 0 };
    };

    struct EndedClaim {
        OfferKey key;
        TimePoint claimed;
        bool ran { false };
    };

    using Urgency = std::pair<TimePoint, OfferKey>; // latest start, earlier by a margin for the local host's requests
    using ActiveIterator = std::map<std::uint64_t, ActiveClaim>::iterator;
    using OfferIterator = std::map<OfferKey, Offer>::iterator;

    Urgency urgencyOf(const KnownOffer&) const;
    std::set<Urgency>& unclaimedQueue(const KnownOffer&);
    const Offer* firstClaimable(TimePoint, const std::set<Urgency>&) const;
    std::optional<OfferKey> bestOffer(TimePoint) const;
    std::uint64_t startClaim(TimePoint, Offer&);
    ActiveIterator findActive(const OfferKey&, std::uint64_t claim);
    ActiveIterator release(ActiveIterator);
    void abandonClaims(const std::function<bool(const ActiveClaim&)>& matches);
    OfferIterator eraseOffer(OfferIterator);
    void backOff(TimePoint, const OfferKey&);
    std::chrono::microseconds longClaimDelay() const;

    PeerIdentity self;
    std::uint64_t nextClaim;
    unsigned slots { 0 };
    unsigned longRuns { 0 }; // active claims of long requests
    unsigned failureLimit { 0 }; // usable slots after backend server failures; 0 means no limit
    TimePoint pausedUntil; // no claims until then, after backend server failures
    std::chrono::milliseconds failurePause { 0 };
    bool claiming { true };
    TimePoint latestTime; // latest time passed by a caller
    RecentHostWork recentHostWork; // of the local host only, including the expected remaining time of its runs
    TimePoint nextSweep;
    std::map<OfferKey, Offer> offers;
    std::set<Urgency> unclaimedShort; // offers without an active claim
    std::set<Urgency> unclaimedLong;
    std::map<std::uint64_t, ActiveClaim> active; // outstanding claims and runs; each occupies a slot
    std::map<std::uint64_t, EndedClaim> endedClaims;
    std::deque<std::pair<TimePoint, std::uint64_t>> endedClaimExpiry; // removal times of endedClaims
};

}
