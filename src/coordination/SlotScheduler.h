#pragma once

#include "coordination/PeerIdentity.h"
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

// Names one request among all holders.
struct OfferKey {
    PeerIdentity holder;
    std::uint64_t request { 0 };

    auto operator<=>(const OfferKey&) const = default; // NOLINT(modernize-use-nullptr): false positive
};

// What a host knows of a request that waits at a holder.
struct KnownOffer {
    OfferKey key;
    std::string service;
    std::chrono::steady_clock::time_point deadline; // on this host's clock
    std::chrono::microseconds expectedRun { 0 };
    bool longRunning { false };
};

// A free slot's choice.
struct SlotClaim {
    OfferKey key;
    std::uint64_t claim { 0 };
};

// What a claimer does with a grant.
enum class GrantVerdict {
    Run, // run it now; the slot is held until runEnded()
    Expired, // the claim is older than its validity: tell the holder that it was not run
    Withdrawn, // the claim was given up before the grant came: tell the holder that it was not run
    Ignore, // a repeat, or a claim that this process does not remember: say nothing about the outcome
};

// The host's side of placement: the offers known, the slots, and the claims made for free slots. The own count of
// claims and runs decides what is free; no reported load takes part.
class SlotScheduler {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // A grant is valid for this long after its claim, so that a process that was paused starts no outdated work.
    static constexpr std::chrono::milliseconds grantValidity { 200 };

    explicit SlotScheduler(PeerIdentity self);

    // Slots of the backend server; runs in progress above a lowered count go on.
    void setSlots(unsigned count) { this->slots = count; }

    // Limits the slots in use after the backend server refused or shed a run; restored step by step while runs end.
    void backendResult(TimePoint, const RunResult&);

    // False: no further claims, and outstanding ones are given up.
    void setClaiming(bool claiming);
    bool isClaiming() const { return this->claiming; }

    // Adds or renews an offer.
    void offerReceived(TimePoint, const KnownOffer&);
    void offerWithdrawn(const OfferKey&);

    // Forgets the offers and gives up the claims of a holder that restarted or fell silent. Returns the runs for it,
    // whose slots are free from then on.
    std::vector<SlotClaim> holderGone(const PeerIdentity&);

    // The other agents whose offers or claims are known.
    std::vector<PeerIdentity> holders() const;

    // Forgets every offer and gives up every claim for another service than this one.
    void keepService(const std::string& service);

    // Fills free slots with the best offers. The claims of own requests are to be granted at once.
    std::vector<SlotClaim> claimOffers(TimePoint);

    GrantVerdict grantReceived(TimePoint, const OfferKey&, std::uint64_t claim);
    void claimRejected(TimePoint, const OfferKey&, std::uint64_t claim);

    // The holder cancelled: returns true when a run in progress is to be stopped. Its slot is free from then on.
    bool cancel(const OfferKey&, std::uint64_t claim);

    // Returns false when the claim is not running.
    bool runEnded(TimePoint, const OfferKey&, std::uint64_t claim);

    // Drops outdated offers and claims.
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
        TimePoint notBefore; // no claim earlier than this
        bool claimed { false };
    };

    struct ActiveClaim {
        OfferKey key;
        TimePoint claimed;
        bool running { false };
        bool longRunning { false };
    };

    struct PastClaim {
        OfferKey key;
        TimePoint claimed;
        bool ran { false };
    };

    using Urgency = std::pair<TimePoint, OfferKey>; // by latest start
    using ActiveIterator = std::map<std::uint64_t, ActiveClaim>::iterator;
    using OfferIterator = std::map<OfferKey, Offer>::iterator;

    std::set<Urgency>& openQueue(const KnownOffer&);
    const Offer* firstOpen(TimePoint, const std::set<Urgency>&) const;
    std::optional<OfferKey> bestOffer(TimePoint) const;
    std::uint64_t startClaim(TimePoint, Offer&);
    ActiveIterator findActive(const OfferKey&, std::uint64_t claim);
    ActiveIterator release(ActiveIterator);
    void giveUpClaims(const std::function<bool(const ActiveClaim&)>& concerned);
    OfferIterator eraseOffer(OfferIterator);
    void rest(TimePoint, const OfferKey&);

    PeerIdentity self;
    std::uint64_t nextClaim;
    unsigned slots { 0 };
    unsigned longRuns { 0 }; // active claims of long requests
    unsigned failureLimit { 0 }; // usable slots after failures; 0: no limit
    TimePoint pausedUntil; // after failures
    std::chrono::milliseconds failurePause { 0 };
    bool claiming { true };
    TimePoint latest; // newest time seen
    TimePoint nextSweep;
    std::map<OfferKey, Offer> offers;
    std::set<Urgency> openShort; // offers that are not claimed
    std::set<Urgency> openLong;
    std::map<std::uint64_t, ActiveClaim> active; // outstanding claims and runs: each holds a slot
    std::map<std::uint64_t, PastClaim> past;
    std::deque<std::pair<TimePoint, std::uint64_t>> forgetting; // past claims by the time at which they are forgotten
};

}
