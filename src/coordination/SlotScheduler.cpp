#include "coordination/SlotScheduler.h"

#include <algorithm>
#include <xxhash.h>

namespace chicoryferry {

namespace {

// Holders renew offers every 250 ms; four missed renewals mean that the holder is gone.
constexpr std::chrono::milliseconds offerLifetime { 1000 };
constexpr std::chrono::milliseconds sweepInterval { 100 };

// Time for which an ended claim is remembered to tell a repeated grant from an unknown one.
constexpr std::chrono::seconds claimMemory { 30 };

// A rejected or unanswered claim's offer rests this long; the withdrawal normally comes first.
constexpr std::chrono::milliseconds rejectedRest { 50 };

constexpr std::chrono::milliseconds firstFailurePause { 50 };
constexpr std::chrono::milliseconds longestFailurePause { 2000 };

// Claim numbers of two incarnations never meet: the upper half depends on the incarnation.
std::uint64_t firstClaim(const PeerIdentity& self)
{
    const std::uint64_t seed = XXH3_64bits_withSeed(self.instance.data(), self.instance.size(), self.incarnation);
    return (seed << 32U) + 1;
}

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
    this->failurePause = std::clamp(this->failurePause * 2, firstFailurePause, longestFailurePause);
    this->pausedUntil = now + this->failurePause;
    this->failureLimit = 1;
}

void SlotScheduler::setClaiming(bool value)
{
    this->claiming = value;
    if (!value) {
        this->giveUpClaims([](const ActiveClaim&) { return true; });
    }
}

std::set<SlotScheduler::Urgency>& SlotScheduler::openQueue(const KnownOffer& offer)
{
    return offer.longRunning ? this->openLong : this->openShort;
}

void SlotScheduler::offerReceived(TimePoint now, const KnownOffer& offer)
{
    this->latest = std::max(this->latest, now);
    const auto [entry, added] = this->offers.try_emplace(offer.key, Offer { offer, now, now });
    Offer& known = entry->second;
    if (!added) {
        known.renewed = now;
        if (known.offer.longRunning == offer.longRunning && latestStart(known.offer) == latestStart(offer)) {
            return;
        }
        this->openQueue(known.offer).erase({ latestStart(known.offer), offer.key });
        known.offer = offer;
    }
    if (!known.claimed) {
        this->openQueue(offer).insert({ latestStart(offer), offer.key });
    }
}

SlotScheduler::OfferIterator SlotScheduler::eraseOffer(OfferIterator offer)
{
    this->openQueue(offer->second.offer).erase({ latestStart(offer->second.offer), offer->first });
    return this->offers.erase(offer);
}

void SlotScheduler::offerWithdrawn(const OfferKey& key)
{
    const auto found = this->offers.find(key);
    if (found != this->offers.end()) {
        this->eraseOffer(found);
    }
}

void SlotScheduler::giveUpClaims(const std::function<bool(const ActiveClaim&)>& concerned)
{
    for (auto claim = this->active.begin(); claim != this->active.end();) {
        const bool givenUp = !claim->second.running && concerned(claim->second);
        claim = givenUp ? this->release(claim) : std::next(claim);
    }
}

std::vector<SlotClaim> SlotScheduler::holderGone(const PeerIdentity& holder)
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

void SlotScheduler::keepService(const std::string& service)
{
    this->giveUpClaims([&](const ActiveClaim& claim) {
        const auto offer = this->offers.find(claim.key);
        return offer == this->offers.end() || offer->second.offer.service != service;
    });
    for (auto offer = this->offers.begin(); offer != this->offers.end();) {
        offer = offer->second.offer.service != service ? this->eraseOffer(offer) : std::next(offer);
    }
}

std::vector<SlotClaim> SlotScheduler::claimOffers(TimePoint now)
{
    this->latest = std::max(this->latest, now);
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

const SlotScheduler::Offer* SlotScheduler::firstOpen(TimePoint now, const std::set<Urgency>& queue) const
{
    for (const auto& [start, key] : queue) {
        const Offer& offer = this->offers.at(key);
        if (start >= now && offer.notBefore <= now) {
            return &offer;
        }
    }
    return nullptr;
}

std::optional<OfferKey> SlotScheduler::bestOffer(TimePoint now) const
{
    const Offer* bestShort = this->firstOpen(now, this->openShort);
    const Offer* bestLong = this->firstOpen(now, this->openLong);
    // The last slot is left to short requests while any wait, so that they do not queue behind long ones.
    const bool longFull = this->longRuns + 1 >= this->usableSlots();
    if (bestShort != nullptr
        && (bestLong == nullptr || longFull || latestStart(bestShort->offer) <= latestStart(bestLong->offer))) {
        return bestShort->offer.key;
    }
    return bestLong == nullptr ? std::nullopt : std::optional(bestLong->offer.key);
}

std::uint64_t SlotScheduler::startClaim(TimePoint now, Offer& offer)
{
    const std::uint64_t claim = this->nextClaim++;
    offer.claimed = true;
    this->openQueue(offer.offer).erase({ latestStart(offer.offer), offer.offer.key });
    this->active.emplace(claim, ActiveClaim { offer.offer.key, now, false, offer.offer.longRunning });
    this->longRuns += offer.offer.longRunning ? 1 : 0;
    return claim;
}

SlotScheduler::ActiveIterator SlotScheduler::release(ActiveIterator claim)
{
    const ActiveClaim& ended = claim->second;
    this->longRuns -= ended.longRunning ? 1 : 0;
    this->past.emplace(claim->first, PastClaim { ended.key, ended.claimed, ended.running });
    this->forgetting.emplace_back(this->latest + claimMemory, claim->first);
    const auto offer = this->offers.find(ended.key);
    if (offer != this->offers.end() && !ended.running) {
        offer->second.claimed = false;
        this->openQueue(offer->second.offer).insert({ latestStart(offer->second.offer), ended.key });
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
    this->latest = std::max(this->latest, now);
    const auto found = this->findActive(key, claim);
    if (found == this->active.end()) {
        const auto ended = this->past.find(claim);
        if (ended == this->past.end() || ended->second.key != key || ended->second.ran) {
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

void SlotScheduler::rest(TimePoint now, const OfferKey& key)
{
    const auto offer = this->offers.find(key);
    if (offer != this->offers.end()) {
        offer->second.notBefore = now + rejectedRest;
    }
}

void SlotScheduler::claimRejected(TimePoint now, const OfferKey& key, std::uint64_t claim)
{
    const auto found = this->findActive(key, claim);
    if (found != this->active.end() && !found->second.running) {
        this->release(found);
        this->rest(now, key);
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
    this->latest = std::max(this->latest, now);
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
    this->latest = std::max(this->latest, now);
    for (auto claim = this->active.begin(); claim != this->active.end();) {
        if (claim->second.running || now - claim->second.claimed <= grantValidity) {
            ++claim;
            continue;
        }
        const OfferKey key = claim->second.key;
        claim = this->release(claim);
        this->rest(now, key);
    }
    if (now < this->nextSweep) {
        return;
    }
    this->nextSweep = now + sweepInterval;
    while (!this->forgetting.empty() && this->forgetting.front().first <= now) {
        this->past.erase(this->forgetting.front().second);
        this->forgetting.pop_front();
    }
    for (auto offer = this->offers.begin(); offer != this->offers.end();) {
        const bool lapsed = offer->first.holder != this->self && now - offer->second.renewed > offerLifetime;
        offer = lapsed || offer->second.offer.deadline < now ? this->eraseOffer(offer) : std::next(offer);
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
