#include "coordination/SlotScheduler.h"

#include <algorithm>
#include <set>
#include <xxhash.h>

namespace chicoryferry {

namespace {

// Holders renew offers every 250 ms; four missed renewals mean that the holder is gone.
constexpr std::chrono::milliseconds offerLifetime { 1000 };

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
    if (value) {
        return;
    }
    for (auto& [claim, record] : this->claims) {
        if (record.state == ClaimState::Outstanding) {
            this->release(record, ClaimState::GivenUp);
        }
    }
}

void SlotScheduler::offerReceived(TimePoint now, const KnownOffer& offer)
{
    const auto found = this->offers.find(offer.key);
    if (found == this->offers.end()) {
        this->offers.emplace(offer.key, Offer { offer, now, now });
        return;
    }
    found->second.offer = offer;
    found->second.renewed = now;
}

void SlotScheduler::offerWithdrawn(const OfferKey& key) { this->offers.erase(key); }

std::vector<SlotClaim> SlotScheduler::holderGone(const PeerIdentity& holder)
{
    std::vector<SlotClaim> stopped;
    std::erase_if(this->offers, [&](const auto& entry) { return entry.first.holder == holder; });
    for (auto& [claim, record] : this->claims) {
        if (record.key.holder != holder) {
            continue;
        }
        if (record.state == ClaimState::Outstanding) {
            this->release(record, ClaimState::GivenUp);
        } else if (record.state == ClaimState::Running) {
            stopped.push_back({ record.key, claim });
            this->release(record, ClaimState::Ended);
        }
    }
    return stopped;
}

std::vector<PeerIdentity> SlotScheduler::holders() const
{
    std::set<PeerIdentity> known;
    for (const auto& [key, offer] : this->offers) {
        known.insert(key.holder);
    }
    for (const auto& [claim, record] : this->claims) {
        known.insert(record.key.holder);
    }
    known.erase(this->self);
    return { known.begin(), known.end() };
}

void SlotScheduler::keepService(const std::string& service)
{
    for (auto& [claim, record] : this->claims) {
        const auto offer = this->offers.find(record.key);
        const bool kept = offer != this->offers.end() && offer->second.offer.service == service;
        if (!kept && record.state == ClaimState::Outstanding) {
            this->release(record, ClaimState::GivenUp);
        }
    }
    std::erase_if(this->offers, [&](const auto& entry) { return entry.second.offer.service != service; });
}

std::vector<SlotClaim> SlotScheduler::claimOffers(TimePoint now)
{
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

std::optional<OfferKey> SlotScheduler::bestOffer(TimePoint now) const
{
    const Offer* best = nullptr;
    const Offer* bestShort = nullptr;
    for (const auto& [key, offer] : this->offers) {
        if (offer.claimed || offer.notBefore > now || latestStart(offer.offer) < now) {
            continue;
        }
        if (best == nullptr || latestStart(offer.offer) < latestStart(best->offer)) {
            best = &offer;
        }
        const bool isShort = !offer.offer.longRunning;
        if (isShort && (bestShort == nullptr || latestStart(offer.offer) < latestStart(bestShort->offer))) {
            bestShort = &offer;
        }
    }
    // The last slot is left to short requests while any wait, so that they do not queue behind long ones.
    const bool longFull = this->longRuns + 1 >= this->usableSlots();
    if (best != nullptr && best->offer.longRunning && longFull && bestShort != nullptr) {
        best = bestShort;
    }
    return best == nullptr ? std::nullopt : std::optional(best->offer.key);
}

std::uint64_t SlotScheduler::startClaim(TimePoint now, Offer& offer)
{
    const std::uint64_t claim = this->nextClaim++;
    offer.claimed = true;
    this->claims.emplace(
        claim, ClaimRecord { offer.offer.key, now, ClaimState::Outstanding, offer.offer.longRunning, {} });
    ++this->occupied;
    ++this->outstanding;
    this->longRuns += offer.offer.longRunning ? 1 : 0;
    return claim;
}

void SlotScheduler::release(ClaimRecord& record, ClaimState state)
{
    --this->occupied;
    this->outstanding -= record.state == ClaimState::Outstanding ? 1 : 0;
    this->longRuns -= record.longRunning ? 1 : 0;
    record.state = state;
    record.forgetAt = record.claimed + claimMemory;
    const auto offer = this->offers.find(record.key);
    if (offer != this->offers.end()) {
        offer->second.claimed = false;
    }
}

SlotScheduler::ClaimIterator SlotScheduler::findClaim(const OfferKey& key, std::uint64_t claim)
{
    const auto found = this->claims.find(claim);
    return found != this->claims.end() && found->second.key == key ? found : this->claims.end();
}

GrantVerdict SlotScheduler::grantReceived(TimePoint now, const OfferKey& key, std::uint64_t claim)
{
    const auto found = this->findClaim(key, claim);
    if (found == this->claims.end()) {
        return GrantVerdict::Ignore;
    }
    ClaimRecord& record = found->second;
    if (record.state == ClaimState::Running || record.state == ClaimState::Ended) {
        return GrantVerdict::Ignore;
    }
    const bool expired = now - record.claimed > grantValidity;
    if (record.state == ClaimState::GivenUp) {
        return expired ? GrantVerdict::Expired : GrantVerdict::Withdrawn;
    }
    if (expired) {
        this->release(record, ClaimState::GivenUp);
        return GrantVerdict::Expired;
    }
    record.state = ClaimState::Running;
    --this->outstanding;
    this->offers.erase(key);
    return GrantVerdict::Run;
}

void SlotScheduler::claimRejected(TimePoint now, const OfferKey& key, std::uint64_t claim)
{
    const auto found = this->findClaim(key, claim);
    if (found == this->claims.end() || found->second.state != ClaimState::Outstanding) {
        return;
    }
    this->release(found->second, ClaimState::GivenUp);
    const auto offer = this->offers.find(key);
    if (offer != this->offers.end()) {
        offer->second.notBefore = now + rejectedRest;
    }
}

bool SlotScheduler::cancel(const OfferKey& key, std::uint64_t claim)
{
    this->offers.erase(key);
    const auto found = this->findClaim(key, claim);
    if (found == this->claims.end()) {
        return false;
    }
    const bool running = found->second.state == ClaimState::Running;
    if (running) {
        this->release(found->second, ClaimState::Ended);
    } else if (found->second.state == ClaimState::Outstanding) {
        this->release(found->second, ClaimState::GivenUp);
    }
    return running;
}

bool SlotScheduler::runEnded(TimePoint now, const OfferKey& key, std::uint64_t claim)
{
    const auto found = this->findClaim(key, claim);
    if (found == this->claims.end() || found->second.state != ClaimState::Running) {
        return false;
    }
    this->release(found->second, ClaimState::Ended);
    found->second.forgetAt = now + claimMemory;
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
    for (auto& [claim, record] : this->claims) {
        if (record.state == ClaimState::Outstanding && now - record.claimed > grantValidity) {
            this->release(record, ClaimState::GivenUp);
            const auto offer = this->offers.find(record.key);
            if (offer != this->offers.end()) {
                offer->second.notBefore = now + rejectedRest;
            }
        }
    }
    std::erase_if(this->claims, [now](const auto& entry) {
        const ClaimRecord& record = entry.second;
        const bool over = record.state == ClaimState::GivenUp || record.state == ClaimState::Ended;
        return over && record.forgetAt <= now;
    });
    std::erase_if(this->offers, [&](const auto& entry) {
        const Offer& offer = entry.second;
        const bool lapsed = entry.first.holder != this->self && now - offer.renewed > offerLifetime;
        return lapsed || offer.offer.deadline < now;
    });
}

SlotScheduler::TimePoint SlotScheduler::nextTimeout() const
{
    TimePoint next = TimePoint::max();
    for (const auto& [claim, record] : this->claims) {
        if (record.state == ClaimState::Outstanding) {
            next = std::min(next, record.claimed + grantValidity + std::chrono::milliseconds(1));
        }
    }
    return next;
}

unsigned SlotScheduler::usableSlots() const
{
    return this->failureLimit > 0 ? std::min(this->failureLimit, this->slots) : this->slots;
}

unsigned SlotScheduler::freeSlots() const
{
    const unsigned usable = this->usableSlots();
    return usable > this->occupied ? usable - this->occupied : 0;
}

}
