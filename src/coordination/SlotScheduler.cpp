#include "coordination/SlotScheduler.h"

#include <algorithm>
#include <xxhash.h>

namespace chicoryferry {

namespace {

// Holders renew offers every 250 ms; an offer expires after four missed renewals, because its holder has then probably
// failed.
constexpr std::chrono::milliseconds offerLifetime { 1000 };
constexpr std::chrono::milliseconds sweepInterval { 100 };

// How long an ended claim is kept, to distinguish a repeated grant from an unknown one.
constexpr std::chrono::seconds endedClaimRetention { 30 };

// An offer is not claimed again for this long after a claim was rejected or not answered. The withdrawal of the offer
// normally arrives earlier.
constexpr std::chrono::milliseconds rejectedClaimBackoff { 50 };

constexpr std::chrono::milliseconds minFailurePause { 50 };
constexpr std::chrono::milliseconds maxFailurePause { 2000 };

// Claim numbers of different incarnations never collide: the upper 32 bits depend on the incarnation.
std::uint64_t firstClaim(const PeerIdentity& self)
{
    const std::uint64_t seed = XXH3_64bits_withSeed(self.instance.data(), self.instance.size(), self.incarnation);
    return (seed << 32U) + 1;
}

// Delay before a fully busy host claims a long request. It is large enough that a difference of a few per cent in busy
// time outweighs the differences between message delays; long requests run at least several times longer.
constexpr std::chrono::microseconds maxLongClaimDelay { 40000 };

// A claim for another holder's request leaves the slot idle for a round trip, so the local host's requests are claimed
// first unless another holder's request is more urgent by this much.
constexpr std::chrono::milliseconds localRequestMargin { 30 };

SlotScheduler::TimePoint latestStart(const KnownOffer& offer) { return offer.deadline - offer.expectedRun; }

}

SlotScheduler::SlotScheduler(PeerIdentity identity)
    : self(std::move(identity))
    , nextClaim(firstClaim(this->self))
{
}

void SlotScheduler::backendResult(TimePoint now, const RunResult& result)
{
    constexpr unsigned serviceUnavailable = 503;
    const bool shed = result.outcome == RunOutcome::Completed && result.status == serviceUnavailable;
    if (!shed && result.outcome != RunOutcome::NotRun) {
        return;
    }
    this->failurePause = std::clamp(this->failurePause * 2, minFailurePause, maxFailurePause);
    this->pausedUntil = now + this->failurePause;
    this->failureLimit = 1;
}

void SlotScheduler::setClaiming(bool value)
{
    this->claiming = value;
    if (!value) {
        this->abandonClaims([](const ActiveClaim&) { return true; });
    }
}

SlotScheduler::Urgency SlotScheduler::urgencyOf(const KnownOffer& offer) const
{
    const bool heldLocally = offer.key.holder == this->self;
    return { latestStart(offer) - (heldLocally ? localRequestMargin : std::chrono::milliseconds(0)), offer.key };
}

std::set<SlotScheduler::Urgency>& SlotScheduler::unclaimedQueue(const KnownOffer& offer)
{
    return offer.longRunning ? this->unclaimedLong : this->unclaimedShort;
}

std::chrono::microseconds SlotScheduler::longClaimDelay() const
{
    const std::chrono::microseconds work = this->recentHostWork.share(this->latestTime, this->self.instance);
    const double share = std::chrono::duration<double>(work) / std::chrono::duration<double>(RecentHostWork::decayTime);
    const double delay = static_cast<double>(maxLongClaimDelay.count()) * std::min(1.0, share);
    return std::chrono::microseconds(static_cast<std::int64_t>(delay));
}

void SlotScheduler::offerReceived(TimePoint now, const KnownOffer& offer)
{
    this->latestTime = std::max(this->latestTime, now);
    const TimePoint notBefore = offer.longRunning ? now + this->longClaimDelay() : now;
    const auto [entry, added] = this->offers.try_emplace(offer.key, Offer { offer, now, notBefore });
    Offer& known = entry->second;
    if (!added) {
        known.renewed = now;
        if (known.offer.longRunning == offer.longRunning && latestStart(known.offer) == latestStart(offer)) {
            return;
        }
        this->unclaimedQueue(known.offer).erase(this->urgencyOf(known.offer));
        known.offer = offer;
    }
    if (!known.claimed) {
        this->unclaimedQueue(offer).insert(this->urgencyOf(offer));
    }
}

SlotScheduler::OfferIterator SlotScheduler::eraseOffer(OfferIterator offer)
{
    this->unclaimedQueue(offer->second.offer).erase(this->urgencyOf(offer->second.offer));
    return this->offers.erase(offer);
}

void SlotScheduler::offerWithdrawn(const OfferKey& key)
{
    const auto found = this->offers.find(key);
    if (found != this->offers.end()) {
        this->eraseOffer(found);
    }
}

void SlotScheduler::abandonClaims(const std::function<bool(const ActiveClaim&)>& matches)
{
    for (auto claim = this->active.begin(); claim != this->active.end();) {
        const bool abandoned = !claim->second.running && matches(claim->second);
        claim = abandoned ? this->release(claim) : std::next(claim);
    }
}

std::vector<SlotClaim> SlotScheduler::removeHolder(const PeerIdentity& holder)
{
    std::vector<SlotClaim> stopped;
    for (auto offer = this->offers.begin(); offer != this->offers.end();) {
        offer = offer->first.holder == holder ? this->eraseOffer(offer) : std::next(offer);
    }
    for (auto claim = this->active.begin(); claim != this->active.end();) {
        if (claim->second.key.holder != holder) {
            ++claim;
            continue;
        }
        if (claim->second.running) {
            stopped.push_back({ claim->second.key, claim->first });
        }
        claim = this->release(claim);
    }
    return stopped;
}

std::vector<PeerIdentity> SlotScheduler::holders() const
{
    std::set<PeerIdentity> known;
    for (const auto& [key, offer] : this->offers) {
        known.insert(key.holder);
    }
    for (const auto& [claim, record] : this->active) {
        known.insert(record.key.holder);
    }
    known.erase(this->self);
    return { known.begin(), known.end() };
}

void SlotScheduler::retainOnlyService(const std::string& service)
{
    this->abandonClaims([&](const ActiveClaim& claim) {
        const auto offer = this->offers.find(claim.key);
        return offer == this->offers.end() || offer->second.offer.service != service;
    });
    for (auto offer = this->offers.begin(); offer != this->offers.end();) {
        offer = offer->second.offer.service != service ? this->eraseOffer(offer) : std::next(offer);
    }
}

std::vector<SlotClaim> SlotScheduler::claimOffers(TimePoint now)
{
    this->latestTime = std::max(this->latestTime, now);
    std::vector<SlotClaim> made;
    while (this->claiming && this->freeSlots() > 0 && now >= this->pausedUntil) {
        const std::optional<OfferKey> best = this->bestOffer(now);
        if (!best) {
            break;
        }
        made.push_back({ *best, this->startClaim(now, this->offers.at(*best)) });
    }
    return made;
}

const SlotScheduler::Offer* SlotScheduler::firstClaimable(TimePoint now, const std::set<Urgency>& queue) const
{
    for (const auto& [urgency, key] : queue) {
        const Offer& offer = this->offers.at(key);
        if (latestStart(offer.offer) >= now && offer.notBefore <= now) {
            return &offer;
        }
    }
    return nullptr;
}

std::optional<OfferKey> SlotScheduler::bestOffer(TimePoint now) const
{
    const Offer* bestShort = this->firstClaimable(now, this->unclaimedShort);
    const Offer* bestLong = this->firstClaimable(now, this->unclaimedLong);
    // The last usable slot is reserved for short requests while any wait, so that they do not queue behind long ones.
    const bool longSlotsExhausted = this->longRuns + 1 >= this->usableSlots();
    if (bestShort != nullptr
        && (bestLong == nullptr || longSlotsExhausted
            || this->urgencyOf(bestShort->offer) <= this->urgencyOf(bestLong->offer))) {
        return bestShort->offer.key;
    }
    return bestLong == nullptr ? std::nullopt : std::optional(bestLong->offer.key);
}

std::uint64_t SlotScheduler::startClaim(TimePoint now, Offer& offer)
{
    this->recentHostWork.add(now, this->self.instance, offer.offer.expectedRun, this->slots);
    const std::uint64_t claim = this->nextClaim++;
    offer.claimed = true;
    this->unclaimedQueue(offer.offer).erase(this->urgencyOf(offer.offer));
    this->active.emplace(
        claim, ActiveClaim { offer.offer.key, now, false, offer.offer.longRunning, offer.offer.expectedRun });
    this->longRuns += offer.offer.longRunning ? 1 : 0;
    return claim;
}

SlotScheduler::ActiveIterator SlotScheduler::release(ActiveIterator claim)
{
    const ActiveClaim& ended = claim->second;
    const auto held = ended.running ? this->latestTime - ended.claimed : std::chrono::steady_clock::duration::zero();
    const auto error = std::chrono::duration_cast<std::chrono::microseconds>(held) - ended.expectedRun;
    this->recentHostWork.add(this->latestTime, this->self.instance, error, this->slots);
    this->longRuns -= ended.longRunning ? 1 : 0;
    this->endedClaims.emplace(claim->first, EndedClaim { ended.key, ended.claimed, ended.running });
    this->endedClaimExpiry.emplace_back(this->latestTime + endedClaimRetention, claim->first);
    const auto offer = this->offers.find(ended.key);
    if (offer != this->offers.end() && !ended.running) {
        offer->second.claimed = false;
        this->unclaimedQueue(offer->second.offer).insert(this->urgencyOf(offer->second.offer));
    }
    return this->active.erase(claim);
}

SlotScheduler::ActiveIterator SlotScheduler::findActive(const OfferKey& key, std::uint64_t claim)
{
    const auto found = this->active.find(claim);
    return found != this->active.end() && found->second.key == key ? found : this->active.end();
}

GrantVerdict SlotScheduler::grantReceived(TimePoint now, const OfferKey& key, std::uint64_t claim)
{
    this->latestTime = std::max(this->latestTime, now);
    const auto found = this->findActive(key, claim);
    if (found == this->active.end()) {
        const auto ended = this->endedClaims.find(claim);
        if (ended == this->endedClaims.end() || ended->second.key != key || ended->second.ran) {
            return GrantVerdict::Ignore;
        }
        return now - ended->second.claimed > grantValidity ? GrantVerdict::Expired : GrantVerdict::Withdrawn;
    }
    if (found->second.running) {
        return GrantVerdict::Ignore;
    }
    if (now - found->second.claimed > grantValidity) {
        this->release(found);
        return GrantVerdict::Expired;
    }
    found->second.running = true;
    this->offerWithdrawn(key);
    return GrantVerdict::Run;
}

void SlotScheduler::backOff(TimePoint now, const OfferKey& key)
{
    const auto offer = this->offers.find(key);
    if (offer != this->offers.end()) {
        offer->second.notBefore = now + rejectedClaimBackoff;
    }
}

void SlotScheduler::claimRejected(TimePoint now, const OfferKey& key, std::uint64_t claim)
{
    const auto found = this->findActive(key, claim);
    if (found != this->active.end() && !found->second.running) {
        this->release(found);
        this->backOff(now, key);
    }
}

bool SlotScheduler::cancel(const OfferKey& key, std::uint64_t claim)
{
    this->offerWithdrawn(key);
    const auto found = this->findActive(key, claim);
    if (found == this->active.end()) {
        return false;
    }
    const bool running = found->second.running;
    this->release(found);
    return running;
}

bool SlotScheduler::runEnded(TimePoint now, const OfferKey& key, std::uint64_t claim)
{
    this->latestTime = std::max(this->latestTime, now);
    const auto found = this->findActive(key, claim);
    if (found == this->active.end() || !found->second.running) {
        return false;
    }
    this->release(found);
    if (this->failureLimit > 0 && now >= this->pausedUntil) {
        ++this->failureLimit;
        if (this->failureLimit >= this->slots) {
            this->failureLimit = 0;
            this->failurePause = std::chrono::milliseconds(0);
        }
    }
    return true;
}

void SlotScheduler::tick(TimePoint now)
{
    this->latestTime = std::max(this->latestTime, now);
    for (auto claim = this->active.begin(); claim != this->active.end();) {
        if (claim->second.running || now - claim->second.claimed <= grantValidity) {
            ++claim;
            continue;
        }
        const OfferKey key = claim->second.key;
        claim = this->release(claim);
        this->backOff(now, key);
    }
    if (now < this->nextSweep) {
        return;
    }
    this->nextSweep = now + sweepInterval;
    while (!this->endedClaimExpiry.empty() && this->endedClaimExpiry.front().first <= now) {
        this->endedClaims.erase(this->endedClaimExpiry.front().second);
        this->endedClaimExpiry.pop_front();
    }
    for (auto offer = this->offers.begin(); offer != this->offers.end();) {
        const bool expired = offer->first.holder != this->self && now - offer->second.renewed > offerLifetime;
        offer = expired || offer->second.offer.deadline < now ? this->eraseOffer(offer) : std::next(offer);
    }
}

SlotScheduler::TimePoint SlotScheduler::nextTimeout() const
{
    TimePoint next = TimePoint::max();
    for (const auto& [claim, record] : this->active) {
        if (!record.running) {
            next = std::min(next, record.claimed + grantValidity + std::chrono::milliseconds(1));
        }
    }
    for (auto entry = this->unclaimedLong.begin(); entry != this->unclaimedLong.end() && this->freeSlots() > 0;
         ++entry) {
        const TimePoint notBefore = this->offers.at(entry->second).notBefore;
        if (notBefore > this->latestTime) {
            next = std::min(next, notBefore);
        }
    }
    return next;
}

std::size_t SlotScheduler::runCount() const
{
    return static_cast<std::size_t>(std::count_if(
        this->active.begin(), this->active.end(), [](const auto& claim) { return claim.second.running; }));
}

unsigned SlotScheduler::usableSlots() const
{
    return this->failureLimit > 0 ? std::min(this->failureLimit, this->slots) : this->slots;
}

unsigned SlotScheduler::freeSlots() const
{
    const unsigned usable = this->usableSlots();
    const auto occupied = static_cast<unsigned>(this->active.size());
    return usable > occupied ? usable - occupied : 0;
}

}
