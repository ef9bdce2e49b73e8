#include "coordination/RequestHolder.h"

#include "coordination/RendezvousRanking.h"
#include "state/ConfigurationView.h"
#include "support/Metrics.h"

#include <algorithm>

namespace chicoryferry {

namespace {

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using TimePoint = RequestHolder::TimePoint;

constexpr milliseconds offerRenewalInterval { 250 };
constexpr std::size_t maxOfferedPeers = 8;

// Maximum number of requests of each size class that are offered at the same time; further requests are offered as
// these are granted. Bounds the number of messages and the memory used on peers while the queue is long.
constexpr std::size_t maxOffersPerSizeClass = 16;

// A request is refused after this many unsuccessful attempts.
constexpr unsigned maxAttempts = 6;

// Maximum number of requests held in any state, including those that share an answer.
constexpr std::size_t maxHeldRequests = 20000;

// If the local host has received more of this holder's work than an eligible peer with a free slot, a request is first
// offered to the least used peers only. The local host may claim it after this delay, which is slightly longer than
// the round trip of an offer and its claim between availability zones.
constexpr milliseconds localClaimDelay { 3 };
constexpr std::size_t maxPreferredPeers = 3;

constexpr double retryRatio = 0.05;
constexpr double retryBudgetCapacity = 10;

// A claimer that has not been heard from for this long is considered failed. The outcome of the attempt is then
// unknown, because the backend server may have run the request.
constexpr milliseconds claimerTimeout { 5000 };

bool isBackendServerFailure(const std::string& reason)
{
    return reason != "grant_expired" && reason != "draining" && reason != "withdrawn" && reason != "wrong_service";
}

std::uint64_t microsecondsUntil(TimePoint now, TimePoint then)
{
    return then > now ? static_cast<std::uint64_t>(duration_cast<microseconds>(then - now).count()) : 0;
}

milliseconds remaining(TimePoint now, TimePoint deadline)
{
    return std::max(milliseconds(0), duration_cast<milliseconds>(deadline - now));
}

RefuseRequest refusal(
    unsigned status, RunOutcome outcome, const std::string& reason, milliseconds retryAfter = milliseconds(0))
{
    return { 0, status, outcome, reason, retryAfter, 0 };
}

constexpr milliseconds shortRetryAfter { 1000 };

}

RequestHolder::RequestHolder(PlacementContext& shared, SlotScheduler& localSlots)
    : context(shared)
    , slots(localSlots)
    , retryBudget(retryRatio, retryBudgetCapacity)
{
}

const std::vector<std::uint32_t>* RequestHolder::hostsFor(const RequestDescription& description) const
{
    const ConfigurationView* view = this->context.view.get();
    const Service* service = view != nullptr ? view->serviceByName(description.service) : nullptr;
    if (service == nullptr) {
        return nullptr;
    }
    for (const CallerGroup& group : view->configuration().callerGroups) {
        if (group.name == description.callerGroup) {
            return &view->hostsFor(*service, group).hosts;
        }
    }
    return nullptr;
}

bool RequestHolder::mayRunOn(const HeldRequest& held, const std::string& instance) const
{
    const std::vector<std::uint32_t>* hosts = this->hostsFor(held.description);
    if (hosts == nullptr || held.failedInstances.contains(instance)) {
        return false;
    }
    return std::any_of(hosts->begin(), hosts->end(), [&](std::uint32_t index) {
        const Host& host = this->context.view->configuration().hosts[index];
        return host.name == instance && !this->context.view->isDraining(host);
    });
}

std::vector<PeerIdentity> RequestHolder::selectPeers(TimePoint now, const HeldRequest& held) const
{
    struct Candidate {
        PeerIdentity peer;
        bool hasFreeSlot { false };
        microseconds share { 0 };
    };
    std::vector<Candidate> candidates;
    const std::vector<std::uint32_t>* hosts = this->hostsFor(held.description);
    for (std::size_t position = 0; hosts != nullptr && position < hosts->size(); ++position) {
        const Host& host = this->context.view->configuration().hosts[(*hosts)[position]];
        const std::optional<PeerIdentity> peer = this->context.peers.liveIdentity(now, host.name);
        if (!peer || host.name == this->context.self.instance || held.failedInstances.contains(host.name)
            || this->context.view->isDraining(host) || this->context.peers.find(host.name)->draining) {
            continue;
        }
        candidates.push_back(
            { *peer, this->context.peers.find(host.name)->freeSlots > 0, this->recentHostWork.share(now, host.name) });
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate& left, const Candidate& right) {
        return left.hasFreeSlot != right.hasFreeSlot ? left.hasFreeSlot : left.share < right.share;
    });
    const bool peersPreferred = held.localClaimNotBefore && now < *held.localClaimNotBefore;
    candidates.resize(std::min(candidates.size(), peersPreferred ? maxPreferredPeers : maxOfferedPeers));
    std::vector<PeerIdentity> chosen;
    chosen.reserve(candidates.size());
    for (Candidate& candidate : candidates) {
        chosen.push_back(std::move(candidate.peer));
    }
    return chosen;
}

void RequestHolder::viewChanged(TimePoint now)
{
    const Host* host = this->context.view->hostByName(this->context.self.instance);
    this->admission.setSlots(host != nullptr ? host->slots : 1);
    for (const std::uint64_t request : this->heldRequests.ungranted()) {
        HeldRequest* held = this->heldRequests.find(request);
        if (held == nullptr) {
            continue; // already ended with the request whose answer it shared
        }
        const std::vector<std::uint32_t>* hosts = this->hostsFor(held->description);
        if (hosts == nullptr || hosts->empty()) {
            this->refuse(now, *held, "placement", refusal(503, RunOutcome::NotRun, "no_host", shortRetryAfter));
            continue;
        }
        if (!this->mayRunOn(*held, this->context.self.instance)) {
            this->slots.offerWithdrawn({ this->context.self, request });
        }
        held->nextOffer = now;
    }
}

void RequestHolder::requestArrived(TimePoint now, const RequestDescription& description)
{
    this->retryBudget.requestArrived();
    const ExpectedRun expected = this->statistics.expectedRun(description);
    HeldRequest added;
    added.description = description;
    added.arrived = now;
    added.deadline = now + description.route.deadline;
    added.expectedRun = expected.upperBound;
    added.meanRun = expected.duration;
    added.longRunning = expected.isLong;
    added.nextOffer = now;
    this->heldRequests.add(std::move(added));
    HeldRequest& held = *this->heldRequests.find(description.request);
    const std::vector<std::uint32_t>* hosts = this->hostsFor(description);
    if (description.route.needsIdempotencyKey() && !description.idempotencyKey) {
        this->refuse(now, held, "admission", refusal(400, RunOutcome::NotRun, "key_required"));
        return;
    }
    if (hosts == nullptr || hosts->empty()) {
        this->refuse(now, held, "admission", refusal(503, RunOutcome::NotRun, "no_host", shortRetryAfter));
        return;
    }
    if (this->heldRequests.size() > maxHeldRequests) {
        this->refuse(now, held, "admission", refusal(503, RunOutcome::NotRun, "held_limit", shortRetryAfter));
        return;
    }
    const RequestCoalescer::Role role = this->requestCoalescer.arrived(now, description, expected.duration);
    if (role == RequestCoalescer::Role::Follower) {
        return;
    }
    if (const auto early = this->admission.refusal(now, description, expected.duration, expected.isLong)) {
        this->refuse(now, held, "admission", refusal(503, RunOutcome::NotRun, early->reason, early->retryAfter));
        return;
    }
    this->startWait(now, held);
    if (description.idempotencyKey) {
        const std::vector<PeerIdentity> serviceHosts
            = coordinatingHosts(this->context.view->configuration(), description.service);
        const KeyMessages asked = this->keyRequests.acquire(now, description.request, description.service,
            *description.idempotencyKey, description.fingerprint, serviceHosts);
        this->keyMessages.insert(this->keyMessages.end(), asked.begin(), asked.end());
    } else if (role != RequestCoalescer::Role::HeldBack) {
        this->heldRequests.makeWaiting(description.request);
    }
}

bool RequestHolder::isLocalHostPreferred(TimePoint now, const HeldRequest& held) const
{
    const microseconds localShare = this->recentHostWork.share(now, this->context.self.instance);
    const std::vector<std::uint32_t>* hosts = this->hostsFor(held.description);
    return hosts == nullptr || std::none_of(hosts->begin(), hosts->end(), [&](std::uint32_t index) {
        const Host& host = this->context.view->configuration().hosts[index];
        const PeerState* peer = this->context.peers.find(host.name);
        return peer != nullptr && peer->freeSlots > 0 && this->context.peers.liveIdentity(now, host.name)
            && this->mayRunOn(held, host.name) && this->recentHostWork.share(now, host.name) < localShare;
    });
}

void RequestHolder::startWait(TimePoint now, HeldRequest& held)
{
    if (!held.includedInWaitingCount) {
        held.includedInWaitingCount = true;
        this->admission.waitBegan(now, held.description, held.longRunning);
    }
}

void RequestHolder::endWait(TimePoint now, HeldRequest& held, bool started)
{
    if (held.includedInWaitingCount) {
        held.includedInWaitingCount = false;
        this->admission.waitEnded(now, held.description, held.longRunning, started);
    }
}

void RequestHolder::answerStarted(std::uint64_t request)
{
    this->heldRequests.answerStarted(request);
    for (const std::uint64_t follower : this->requestCoalescer.followersOf(request)) {
        this->heldRequests.answerStarted(follower);
    }
}

void RequestHolder::runEnded(TimePoint now, std::uint64_t request, std::uint64_t claim, const RunResult& result)
{
    HeldRequest* held = this->heldRequests.find(request);
    if (held == nullptr || held->state != HeldRequest::State::Granted || held->claim != claim) {
        return;
    }
    if (held->claimer == this->context.self && this->slots.runEnded(now, { this->context.self, request }, claim)) {
        --this->localRuns;
        this->slots.backendResult(now, result);
    }
    const Host* host = this->context.view->hostByName(held->claimer.instance);
    const microseconds runTime = duration_cast<microseconds>(now - held->grantedAt);
    this->recentHostWork.add(
        now, held->claimer.instance, runTime - held->grantedWork, host != nullptr ? host->slots : 1);
    switch (result.outcome) {
    case RunOutcome::Completed:
        this->statistics.runCompleted(held->description, runTime);
        this->complete(now, *held, result.status);
        break;
    case RunOutcome::NotRun:
        this->handleNotRun(now, *held, result.reason);
        break;
    case RunOutcome::Unknown:
        this->handleUnknownOutcome(now, *held, result.reason);
        break;
    }
}

void RequestHolder::grantReturned(
    TimePoint now, const PeerIdentity& from, std::uint64_t request, std::uint64_t claim, const std::string& reason)
{
    if (this->heldRequests.isGranted(request, from, claim)) {
        this->handleNotRun(now, *this->heldRequests.find(request), reason);
    }
}

void RequestHolder::handleNotRun(TimePoint now, HeldRequest& held, const std::string& reason)
{
    if (held.answerStarted) {
        // The backend server sent part of an answer, so it ran the request even though the claimer reports NotRun.
        this->handleUnknownOutcome(now, held, reason);
        return;
    }
    if (!held.description.bodyRetained) {
        this->refuse(now, held, "placement", refusal(503, RunOutcome::NotRun, "body_not_retained", shortRetryAfter));
        return;
    }
    if (held.attempt + 1 >= maxAttempts) {
        this->refuse(now, held, "placement", refusal(503, RunOutcome::NotRun, "attempts_exhausted", shortRetryAfter));
        return;
    }
    if (isBackendServerFailure(reason)) {
        held.failedInstances.insert(held.claimer.instance);
    }
    this->requeue(now, held, "not_run", reason);
}

bool RequestHolder::canRetry(TimePoint now, const HeldRequest& held) const
{
    return held.description.route.isRepeatable(held.description.method) && !held.description.idempotencyKey
        && !held.answerStarted && held.description.bodyRetained && held.deadline - held.expectedRun > now
        && held.attempt + 1 < maxAttempts;
}

void RequestHolder::handleUnknownOutcome(TimePoint now, HeldRequest& held, const std::string& reason)
{
    held.earlierAttemptMayHaveRun = true;
    if (!this->canRetry(now, held)) {
        this->refuse(now, held, "run", refusal(502, RunOutcome::Unknown, reason));
        return;
    }
    if (!this->retryBudget.takeRetry()) {
        // The caller receives the reason for the failed attempt; the metric records why it was not retried.
        this->context.metrics.refusals("retry", "retry_budget").Increment();
        this->refuse(now, held, "run", refusal(502, RunOutcome::Unknown, reason));
        return;
    }
    held.failedInstances.insert(held.claimer.instance);
    this->requeue(now, held, "unknown", reason);
}

void RequestHolder::requeue(TimePoint now, HeldRequest& held, const std::string& step, const std::string& reason)
{
    this->context.metrics.retries(step, reason).Increment();
    this->heldRequests.revokeGrant(held.description.request, held.claimer, held.claim);
    this->startWait(now, held);
    held.nextOffer = now;
    held.localClaimNotBefore.reset();
    const std::vector<std::uint32_t>* hosts = this->hostsFor(held.description);
    const bool anyHostLeft = hosts != nullptr && std::any_of(hosts->begin(), hosts->end(), [&](std::uint32_t index) {
        return this->mayRunOn(held, this->context.view->configuration().hosts[index].name);
    });
    if (!anyHostLeft) {
        // All hosts have failed once, so all become eligible again. The pause that a host makes after a failure of its
        // backend server limits the rate of these retries.
        held.failedInstances.clear();
    }
}

void RequestHolder::refuse(TimePoint now, HeldRequest& held, const std::string& step, RefuseRequest why)
{
    const std::uint64_t request = held.description.request;
    const bool callerDisconnected = held.callerDisconnected;
    if (held.earlierAttemptMayHaveRun) {
        why.outcome = RunOutcome::Unknown; // an earlier attempt may have run
    }
    const std::vector<std::uint64_t> followers = this->requestCoalescer.followersOf(request);
    this->end(now, request, why.outcome, 0);
    if (!callerDisconnected) {
        this->context.metrics.refusals(step, why.reason).Increment();
        why.request = request;
        this->context.actions.emplace_back(why);
    }
    for (const std::uint64_t follower : followers) {
        this->end(now, follower, why.outcome, 0);
        this->context.metrics.refusals(step, why.reason).Increment();
        why.request = follower;
        this->context.actions.emplace_back(why);
    }
}

void RequestHolder::complete(TimePoint now, HeldRequest& held, unsigned status)
{
    const std::uint64_t request = held.description.request;
    const std::vector<std::uint64_t> followers = this->requestCoalescer.followersOf(request);
    this->end(now, request, RunOutcome::Completed, status);
    for (const std::uint64_t follower : followers) {
        this->end(now, follower, RunOutcome::Completed, status);
    }
}

void RequestHolder::end(TimePoint now, std::uint64_t request, RunOutcome outcome, unsigned status)
{
    HeldRequest& held = *this->heldRequests.find(request);
    this->withdrawOffers(held, nullptr);
    this->endWait(now, held, false);
    if (held.description.idempotencyKey) {
        const KeyMessages reports = this->keyRequests.finished(now, request, outcome, status);
        this->keyMessages.insert(this->keyMessages.end(), reports.begin(), reports.end());
    }
    this->requestCoalescer.followerGone(request);
    if (const std::optional<std::uint64_t> next = this->requestCoalescer.ended(request)) {
        this->heldRequests.makeWaiting(*next);
    }
    this->heldRequests.remove(request);
}

void RequestHolder::withdrawOffers(HeldRequest& held, const PeerIdentity* except)
{
    this->slots.offerWithdrawn({ this->context.self, held.description.request });
    for (const PeerIdentity& peer : held.offeredTo) {
        if (except == nullptr || peer != *except) {
            this->context.send(peer).mutable_offer_withdrawn()->set_request(held.description.request);
        }
    }
    held.offeredTo.clear();
}

void RequestHolder::cancelGrant(const HeldRequest& held, const std::string& reason)
{
    const std::uint64_t request = held.description.request;
    this->context.actions.emplace_back(CancelRun { this->context.self, request, held.claim, reason });
    if (held.claimer == this->context.self) {
        this->localRuns -= this->slots.cancel({ this->context.self, request }, held.claim) ? 1 : 0;
        return;
    }
    wire::Cancel& cancel = *this->context.send(held.claimer).mutable_cancel();
    cancel.set_request(request);
    cancel.set_claim(held.claim);
    cancel.set_reason(reason);
}

void RequestHolder::promoteFollower(TimePoint now, HeldRequest& held)
{
    const bool onOffer = held.state == HeldRequest::State::Waiting;
    const std::optional<std::uint64_t> promoted = this->requestCoalescer.promote(held.description.request);
    if (!promoted) {
        return;
    }
    this->startWait(now, *this->heldRequests.find(*promoted));
    if (onOffer) {
        this->heldRequests.makeWaiting(*promoted);
    }
}

void RequestHolder::callerDisconnected(TimePoint now, std::uint64_t request)
{
    HeldRequest* held = this->heldRequests.find(request);
    if (held == nullptr) {
        return;
    }
    const bool isGranted = held->state == HeldRequest::State::Granted;
    if (isGranted && !this->requestCoalescer.followersOf(request).empty()) {
        held->callerDisconnected = true;
        return;
    }
    const std::optional<std::uint64_t> leader = this->requestCoalescer.leaderFor(request);
    if (isGranted) {
        this->cancelGrant(*held, "caller_gone");
    } else {
        this->promoteFollower(now, *held);
    }
    const bool neverRan = !isGranted && !held->earlierAttemptMayHaveRun;
    this->end(now, request, neverRan ? RunOutcome::NotRun : RunOutcome::Unknown, 0);
    HeldRequest* abandoned = leader ? this->heldRequests.find(*leader) : nullptr;
    if (abandoned != nullptr && abandoned->callerDisconnected && this->requestCoalescer.followersOf(*leader).empty()) {
        this->callerDisconnected(now, *leader);
    }
}

void RequestHolder::claimReceived(TimePoint now, const PeerIdentity& from, const wire::Claim& claim)
{
    HeldRequest* held = this->heldRequests.find(claim.request());
    if (held != nullptr && this->heldRequests.isGranted(claim.request(), from, claim.claim())) {
        return; // duplicate message
    }
    const bool grantable = held != nullptr && held->deadline - held->expectedRun >= now
        && held->offeredTo.contains(from) && this->mayRunOn(*held, from.instance);
    if (!grantable || !this->heldRequests.grant(now, claim.request(), from, claim.claim())) {
        wire::ClaimRejected& rejected = *this->context.send(from).mutable_claim_rejected();
        rejected.set_request(claim.request());
        rejected.set_claim(claim.claim());
        return;
    }
    this->withdrawOffers(*held, &from);
    this->recordGrant(now, *held);
    this->context.actions.emplace_back(
        GrantToPeer { claim.request(), claim.claim(), from, remaining(now, held->deadline) });
}

void RequestHolder::localClaimMade(TimePoint now, const SlotClaim& made)
{
    if (!this->heldRequests.grant(now, made.key.request, this->context.self, made.claim)) {
        this->slots.claimRejected(now, made.key, made.claim);
        this->slots.offerWithdrawn(made.key);
        return;
    }
    this->slots.grantReceived(now, made.key, made.claim);
    ++this->localRuns;
    HeldRequest& held = *this->heldRequests.find(made.key.request);
    this->withdrawOffers(held, nullptr);
    this->recordGrant(now, held);
    this->context.actions.emplace_back(RunOwnRequest { made.key.request, made.claim, remaining(now, held.deadline) });
}

void RequestHolder::recordGrant(TimePoint now, HeldRequest& held)
{
    const Host* host = this->context.view->hostByName(held.claimer.instance);
    held.grantedWork = std::max<microseconds>(held.meanRun, milliseconds(1));
    this->recentHostWork.add(now, held.claimer.instance, held.grantedWork, host != nullptr ? host->slots : 1);
    this->endWait(now, held, true);
    if (held.attempt > 0) {
        return; // the followers were already assigned at the first grant
    }
    for (const std::uint64_t follower : this->requestCoalescer.started(now, held.description.request)) {
        this->heldRequests.makeShared(follower);
        this->context.actions.emplace_back(ShareAnswer { follower, held.description.request });
    }
}

void RequestHolder::keyAnswered(TimePoint now, const PeerIdentity& from, const wire::KeyAnswer& answer)
{
    if (const std::optional<KeyDecision> decision = this->keyRequests.answered(now, from, answer)) {
        this->applyKeyDecision(now, *decision);
    }
}

void RequestHolder::applyKeyDecision(TimePoint now, const KeyDecision& decision)
{
    HeldRequest* held = this->heldRequests.find(decision.request);
    if (held == nullptr) {
        return;
    }
    if (decision.acquired) {
        this->heldRequests.makeWaiting(decision.request);
        return;
    }
    RefuseRequest why = refusal(
        decision.status, decision.outcome, decision.reason, decision.status == 503 ? shortRetryAfter : milliseconds(0));
    why.completedStatus = decision.completedStatus;
    this->refuse(now, *held, "key", why);
}

void RequestHolder::peerRestarted(TimePoint now, const PeerIdentity& current)
{
    const auto isPreviousIncarnation = [&](const PeerIdentity& peer) {
        return peer.instance == current.instance && peer.incarnation < current.incarnation;
    };
    for (const std::uint64_t request : this->heldRequests.grantedTo(isPreviousIncarnation)) {
        HeldRequest& held = *this->heldRequests.find(request);
        this->context.actions.emplace_back(CancelRun { this->context.self, request, held.claim, "claimer_restarted" });
        this->handleUnknownOutcome(now, held, "claimer_restarted");
    }
}

void RequestHolder::offerToLocalHost(TimePoint now)
{
    if (!this->slots.isClaiming()) {
        return;
    }
    for (const std::uint64_t request : this->heldRequests.mostUrgent(maxOffersPerSizeClass)) {
        HeldRequest& held = *this->heldRequests.find(request);
        const bool servedLocally = held.description.service == this->context.localService;
        if (!held.localClaimNotBefore) {
            const bool immediately
                = held.longRunning || this->slots.freeSlots() == 0 || this->isLocalHostPreferred(now, held);
            held.localClaimNotBefore = immediately ? now : now + localClaimDelay;
            held.nextOffer = now;
        }
        if (servedLocally && now >= *held.localClaimNotBefore && held.deadline > now
            && this->mayRunOn(held, this->context.self.instance)) {
            this->slots.offerReceived(now,
                { { this->context.self, request }, held.description.service, held.deadline, held.expectedRun,
                    held.longRunning });
        }
    }
}

void RequestHolder::offerToPeers(TimePoint now)
{
    for (const std::uint64_t request : this->heldRequests.mostUrgent(maxOffersPerSizeClass)) {
        HeldRequest& held = *this->heldRequests.find(request);
        if (now < held.nextOffer) {
            continue;
        }
        const bool peersPreferred = held.localClaimNotBefore && now < *held.localClaimNotBefore;
        held.nextOffer = peersPreferred ? *held.localClaimNotBefore : now + offerRenewalInterval;
        for (const PeerIdentity& peer : this->selectPeers(now, held)) {
            held.offeredTo.insert(peer);
            wire::Offer& offer = *this->context.send(peer).mutable_offer();
            offer.set_request(request);
            offer.set_service(held.description.service);
            offer.set_remaining_deadline_us(microsecondsUntil(now, held.deadline));
            offer.set_expected_run_us(static_cast<std::uint64_t>(held.expectedRun.count()));
            offer.set_long_running(held.longRunning);
            offer.set_attempt(held.attempt);
            offer.set_waited_us(microsecondsUntil(held.arrived, now));
        }
    }
}

void RequestHolder::refuseForDeadline(TimePoint now, std::uint64_t request)
{
    HeldRequest* held = this->heldRequests.find(request);
    if (held == nullptr) {
        return; // already ended with the request whose answer it shared
    }
    if (held->state == HeldRequest::State::Granted) {
        this->cancelGrant(*held, "deadline_exceeded");
    }
    const bool granted = held->state == HeldRequest::State::Granted || held->state == HeldRequest::State::Shared;
    if (granted) {
        this->refuse(now, *held, "run", refusal(504, RunOutcome::Unknown, "deadline_exceeded"));
        return;
    }
    this->promoteFollower(now, *held);
    this->refuse(now, *held, "placement", refusal(503, RunOutcome::NotRun, "deadline_unreachable", shortRetryAfter));
}

void RequestHolder::checkSilentClaimers(TimePoint now)
{
    const auto isSilent = [&](const PeerIdentity& peer) {
        const PeerState* state = this->context.peers.find(peer.instance);
        return peer != this->context.self && (state == nullptr || now - state->lastHeard > claimerTimeout);
    };
    for (const std::uint64_t request : this->heldRequests.grantedTo(isSilent)) {
        HeldRequest& held = *this->heldRequests.find(request);
        this->cancelGrant(held, "claimer_silent");
        this->handleUnknownOutcome(now, held, "claimer_silent");
    }
}

void RequestHolder::tick(TimePoint now)
{
    for (const std::uint64_t request : this->heldRequests.deadlineUnreachable(now)) {
        this->refuseForDeadline(now, request);
    }
    for (const std::uint64_t request : this->heldRequests.overdue(now)) {
        this->refuseForDeadline(now, request);
    }
    for (const std::uint64_t request : this->requestCoalescer.releaseOverdue(now)) {
        this->heldRequests.makeWaiting(request);
    }
    const Configuration* configuration = this->context.view ? &this->context.view->configuration() : nullptr;
    KeyRequests::TickResult keys = this->keyRequests.tick(now, configuration);
    this->keyMessages.insert(this->keyMessages.end(), keys.messages.begin(), keys.messages.end());
    for (const KeyDecision& decision : keys.decisions) {
        this->applyKeyDecision(now, decision);
    }
}

TimePoint RequestHolder::nextTimeout() const
{
    TimePoint next = std::min(this->heldRequests.nextDeadline(), this->keyRequests.nextTimeout());
    for (const std::uint64_t request : this->heldRequests.mostUrgent(maxOffersPerSizeClass)) {
        next = std::min(next, this->heldRequests.find(request)->nextOffer);
    }
    return next;
}

}
