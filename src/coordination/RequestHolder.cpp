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

constexpr milliseconds offerRenewal { 250 };
constexpr std::size_t offeredPeers = 8;

// Requests of each size class that are on offer at once; later ones follow as these are granted. This bounds the
// messages and the memory of peers while a queue is long.
constexpr std::size_t offerWindow = 16;

// A request that came back this many times is refused.
constexpr unsigned mostAttempts = 6;

// Requests that a holder keeps in any state, including those that share an answer.
constexpr std::size_t heldLimit = 20000;

// When the own host had more of the holder's work than others, the least used peers are offered a request first. The
// own host claims it after this time, a little more than an offer and its claim take between availability zones.
constexpr milliseconds peersFirst { 3 };
constexpr std::size_t firstOffers = 3;

constexpr double retryShare = 0.05;
constexpr double retryReserve = 10;

// A claimer that is silent for this long while its backend server may be running the request is taken as lost.
constexpr milliseconds claimerSilence { 5000 };

bool isFaultOfTheBackendServer(const std::string& reason)
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

RequestHolder::RequestHolder(PlacementContext& shared, SlotScheduler& ownSlots)
    : context(shared)
    , slots(ownSlots)
    , retryBudget(retryShare, retryReserve)
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
    if (hosts == nullptr || held.failedOn.contains(instance)) {
        return false;
    }
    return std::any_of(hosts->begin(), hosts->end(), [&](std::uint32_t index) {
        const Host& host = this->context.view->configuration().hosts[index];
        return host.name == instance && !this->context.view->isDraining(host);
    });
}

std::vector<PeerIdentity> RequestHolder::peersFor(TimePoint now, const HeldRequest& held) const
{
    struct Choice {
        PeerIdentity peer;
        bool free { false };
        microseconds share { 0 };
    };
    std::vector<Choice> choices;
    const std::vector<std::uint32_t>* hosts = this->hostsFor(held.description);
    for (std::size_t position = 0; hosts != nullptr && position < hosts->size(); ++position) {
        const Host& host = this->context.view->configuration().hosts[(*hosts)[position]];
        const std::optional<PeerIdentity> peer = this->context.peers.liveIdentity(now, host.name);
        if (!peer || host.name == this->context.self.instance || held.failedOn.contains(host.name)
            || this->context.view->isDraining(host) || this->context.peers.find(host.name)->draining) {
            continue;
        }
        choices.push_back(
            { *peer, this->context.peers.find(host.name)->freeSlots > 0, this->workShares.share(now, host.name) });
    }
    std::sort(choices.begin(), choices.end(), [](const Choice& left, const Choice& right) {
        return left.free != right.free ? left.free : left.share < right.share;
    });
    const bool peersGoFirst = held.ownTurn && now < *held.ownTurn;
    choices.resize(std::min(choices.size(), peersGoFirst ? firstOffers : offeredPeers));
    std::vector<PeerIdentity> chosen;
    chosen.reserve(choices.size());
    for (Choice& choice : choices) {
        chosen.push_back(std::move(choice.peer));
    }
    return chosen;
}

void RequestHolder::viewChanged(TimePoint now)
{
    const Host* host = this->context.view->hostByName(this->context.self.instance);
    this->admission.setSlots(host != nullptr ? host->slots : 1);
    for (const std::uint64_t request : this->book.ungranted()) {
        HeldRequest* held = this->book.find(request);
        if (held == nullptr) {
            continue; // ended together with the request whose answer it shared
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
    this->book.add(std::move(added));
    HeldRequest& held = *this->book.find(description.request);
    const std::vector<std::uint32_t>* hosts = this->hostsFor(description);
    if (description.route.needsIdempotencyKey() && !description.idempotencyKey) {
        this->refuse(now, held, "admission", refusal(400, RunOutcome::NotRun, "key_required"));
        return;
    }
    if (hosts == nullptr || hosts->empty()) {
        this->refuse(now, held, "admission", refusal(503, RunOutcome::NotRun, "no_host", shortRetryAfter));
        return;
    }
    if (this->book.size() > heldLimit) {
        this->refuse(now, held, "admission", refusal(503, RunOutcome::NotRun, "held_limit", shortRetryAfter));
        return;
    }
    const SharedRuns::Role role = this->sharedRuns.arrived(now, description, expected.duration);
    if (role == SharedRuns::Role::Follower) {
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
    } else if (role != SharedRuns::Role::HeldBack) {
        this->book.makeWaiting(description.request);
    }
}

bool RequestHolder::isOwnTurn(TimePoint now, const HeldRequest& held) const
{
    const microseconds ownShare = this->workShares.share(now, this->context.self.instance);
    const std::vector<std::uint32_t>* hosts = this->hostsFor(held.description);
    return hosts == nullptr || std::none_of(hosts->begin(), hosts->end(), [&](std::uint32_t index) {
        const Host& host = this->context.view->configuration().hosts[index];
        const PeerState* peer = this->context.peers.find(host.name);
        return peer != nullptr && peer->freeSlots > 0 && this->context.peers.liveIdentity(now, host.name)
            && this->mayRunOn(held, host.name) && this->workShares.share(now, host.name) < ownShare;
    });
}

void RequestHolder::startWait(TimePoint now, HeldRequest& held)
{
    if (!held.countedWaiting) {
        held.countedWaiting = true;
        this->admission.waitBegan(now, held.description, held.longRunning);
    }
}

void RequestHolder::endWait(TimePoint now, HeldRequest& held, bool started)
{
    if (held.countedWaiting) {
        held.countedWaiting = false;
        this->admission.waitEnded(now, held.description, held.longRunning, started);
    }
}

void RequestHolder::answerStarted(std::uint64_t request)
{
    this->book.answerStarted(request);
    for (const std::uint64_t follower : this->sharedRuns.followersOf(request)) {
        this->book.answerStarted(follower);
    }
}

void RequestHolder::runEnded(TimePoint now, std::uint64_t request, std::uint64_t claim, const RunResult& result)
{
    HeldRequest* held = this->book.find(request);
    if (held == nullptr || held->state != HeldRequest::State::Granted || held->claim != claim) {
        return;
    }
    if (held->claimer == this->context.self && this->slots.runEnded(now, { this->context.self, request }, claim)) {
        --this->ownRuns;
        this->slots.backendResult(now, result);
    }
    const Host* host = this->context.view->hostByName(held->claimer.instance);
    const microseconds runTime = duration_cast<microseconds>(now - held->granted);
    this->workShares.add(now, held->claimer.instance, runTime - held->grantedWork, host != nullptr ? host->slots : 1);
    switch (result.outcome) {
    case RunOutcome::Completed:
        this->statistics.runCompleted(held->description, runTime);
        this->complete(now, *held, result.status);
        break;
    case RunOutcome::NotRun:
        this->attemptNotRun(now, *held, result.reason);
        break;
    case RunOutcome::Unknown:
        this->attemptUnknown(now, *held, result.reason);
        break;
    }
}

void RequestHolder::grantReturned(
    TimePoint now, const PeerIdentity& from, std::uint64_t request, std::uint64_t claim, const std::string& reason)
{
    if (this->book.isGranted(request, from, claim)) {
        this->attemptNotRun(now, *this->book.find(request), reason);
    }
}

void RequestHolder::attemptNotRun(TimePoint now, HeldRequest& held, const std::string& reason)
{
    if (held.answerStarted) {
        // A backend server that sent a byte did run the request, whatever the claimer says.
        this->attemptUnknown(now, held, reason);
        return;
    }
    if (!held.description.bodyRetained) {
        this->refuse(now, held, "placement", refusal(503, RunOutcome::NotRun, "body_not_retained", shortRetryAfter));
        return;
    }
    if (held.attempt + 1 >= mostAttempts) {
        this->refuse(now, held, "placement", refusal(503, RunOutcome::NotRun, "attempts_exhausted", shortRetryAfter));
        return;
    }
    if (isFaultOfTheBackendServer(reason)) {
        held.failedOn.insert(held.claimer.instance);
    }
    this->requeue(now, held, "not_run", reason);
}

bool RequestHolder::mayRepeat(TimePoint now, const HeldRequest& held) const
{
    return held.description.route.isRepeatable(held.description.method) && !held.description.idempotencyKey
        && !held.answerStarted && held.description.bodyRetained && held.deadline - held.expectedRun > now
        && held.attempt + 1 < mostAttempts;
}

void RequestHolder::attemptUnknown(TimePoint now, HeldRequest& held, const std::string& reason)
{
    held.unsolvedAttempt = true;
    if (!this->mayRepeat(now, held)) {
        this->refuse(now, held, "run", refusal(502, RunOutcome::Unknown, reason));
        return;
    }
    if (!this->retryBudget.takeRetry()) {
        // The caller learns why the attempt failed; the counter tells the operator why it was not repeated.
        this->context.metrics.refusals("retry", "retry_budget").Increment();
        this->refuse(now, held, "run", refusal(502, RunOutcome::Unknown, reason));
        return;
    }
    held.failedOn.insert(held.claimer.instance);
    this->requeue(now, held, "unknown", reason);
}

void RequestHolder::requeue(TimePoint now, HeldRequest& held, const std::string& step, const std::string& reason)
{
    this->context.metrics.retries(step, reason).Increment();
    this->book.takeBack(held.description.request, held.claimer, held.claim);
    this->startWait(now, held);
    held.nextOffer = now;
    held.ownTurn.reset();
    const std::vector<std::uint32_t>* hosts = this->hostsFor(held.description);
    const bool anyLeft = hosts != nullptr && std::any_of(hosts->begin(), hosts->end(), [&](std::uint32_t index) {
        return this->mayRunOn(held, this->context.view->configuration().hosts[index].name);
    });
    if (!anyLeft) {
        // Every host failed once; the pause after a failure of a backend server paces the next round.
        held.failedOn.clear();
    }
}

void RequestHolder::refuse(TimePoint now, HeldRequest& held, const std::string& step, RefuseRequest why)
{
    const std::uint64_t request = held.description.request;
    const bool callerGone = held.callerGone;
    if (held.unsolvedAttempt) {
        why.outcome = RunOutcome::Unknown; // an earlier attempt may have run
    }
    const std::vector<std::uint64_t> followers = this->sharedRuns.followersOf(request);
    this->end(now, request, why.outcome, 0);
    if (!callerGone) {
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
    const std::vector<std::uint64_t> followers = this->sharedRuns.followersOf(request);
    this->end(now, request, RunOutcome::Completed, status);
    for (const std::uint64_t follower : followers) {
        this->end(now, follower, RunOutcome::Completed, status);
    }
}

void RequestHolder::end(TimePoint now, std::uint64_t request, RunOutcome outcome, unsigned status)
{
    HeldRequest& held = *this->book.find(request);
    this->withdraw(held, nullptr);
    this->endWait(now, held, false);
    if (held.description.idempotencyKey) {
        const KeyMessages reports = this->keyRequests.finished(now, request, outcome, status);
        this->keyMessages.insert(this->keyMessages.end(), reports.begin(), reports.end());
    }
    this->sharedRuns.followerGone(request);
    if (const std::optional<std::uint64_t> next = this->sharedRuns.ended(request)) {
        this->book.makeWaiting(*next);
    }
    this->book.remove(request);
}

void RequestHolder::withdraw(HeldRequest& held, const PeerIdentity* except)
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
        this->ownRuns -= this->slots.cancel({ this->context.self, request }, held.claim) ? 1 : 0;
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
    const std::optional<std::uint64_t> promoted = this->sharedRuns.promote(held.description.request);
    if (!promoted) {
        return;
    }
    this->startWait(now, *this->book.find(*promoted));
    if (onOffer) {
        this->book.makeWaiting(*promoted);
    }
}

void RequestHolder::callerGone(TimePoint now, std::uint64_t request)
{
    HeldRequest* held = this->book.find(request);
    if (held == nullptr) {
        return;
    }
    const bool isGranted = held->state == HeldRequest::State::Granted;
    if (isGranted && !this->sharedRuns.followersOf(request).empty()) {
        held->callerGone = true;
        return;
    }
    const std::optional<std::uint64_t> leader = this->sharedRuns.leaderFor(request);
    if (isGranted) {
        this->cancelGrant(*held, "caller_gone");
    } else {
        this->promoteFollower(now, *held);
    }
    const bool neverRan = !isGranted && !held->unsolvedAttempt;
    this->end(now, request, neverRan ? RunOutcome::NotRun : RunOutcome::Unknown, 0);
    HeldRequest* abandoned = leader ? this->book.find(*leader) : nullptr;
    if (abandoned != nullptr && abandoned->callerGone && this->sharedRuns.followersOf(*leader).empty()) {
        this->callerGone(now, *leader);
    }
}

void RequestHolder::claimReceived(TimePoint now, const PeerIdentity& from, const wire::Claim& claim)
{
    HeldRequest* held = this->book.find(claim.request());
    if (held != nullptr && this->book.isGranted(claim.request(), from, claim.claim())) {
        return; // a repeated message
    }
    const bool wanted = held != nullptr && held->deadline - held->expectedRun >= now && held->offeredTo.contains(from)
        && this->mayRunOn(*held, from.instance);
    if (!wanted || !this->book.grant(now, claim.request(), from, claim.claim())) {
        wire::ClaimRejected& rejected = *this->context.send(from).mutable_claim_rejected();
        rejected.set_request(claim.request());
        rejected.set_claim(claim.claim());
        return;
    }
    this->withdraw(*held, &from);
    this->granted(now, *held);
    this->context.actions.emplace_back(
        GrantToPeer { claim.request(), claim.claim(), from, remaining(now, held->deadline) });
}

void RequestHolder::ownClaim(TimePoint now, const SlotClaim& made)
{
    if (!this->book.grant(now, made.key.request, this->context.self, made.claim)) {
        this->slots.claimRejected(now, made.key, made.claim);
        this->slots.offerWithdrawn(made.key);
        return;
    }
    this->slots.grantReceived(now, made.key, made.claim);
    ++this->ownRuns;
    HeldRequest& held = *this->book.find(made.key.request);
    this->withdraw(held, nullptr);
    this->granted(now, held);
    this->context.actions.emplace_back(RunOwnRequest { made.key.request, made.claim, remaining(now, held.deadline) });
}

void RequestHolder::granted(TimePoint now, HeldRequest& held)
{
    const Host* host = this->context.view->hostByName(held.claimer.instance);
    held.grantedWork = std::max<microseconds>(held.meanRun, milliseconds(1));
    this->workShares.add(now, held.claimer.instance, held.grantedWork, host != nullptr ? host->slots : 1);
    this->endWait(now, held, true);
    if (held.attempt > 0) {
        return; // those that share its answer are known
    }
    for (const std::uint64_t follower : this->sharedRuns.started(now, held.description.request)) {
        this->book.makeShared(follower);
        this->context.actions.emplace_back(ShareAnswer { follower, held.description.request });
    }
}

void RequestHolder::keyAnswered(TimePoint now, const PeerIdentity& from, const wire::KeyAnswer& answer)
{
    if (const std::optional<KeyDecision> decision = this->keyRequests.answered(now, from, answer)) {
        this->decideKey(now, *decision);
    }
}

void RequestHolder::decideKey(TimePoint now, const KeyDecision& decision)
{
    HeldRequest* held = this->book.find(decision.request);
    if (held == nullptr) {
        return;
    }
    if (decision.acquired) {
        this->book.makeWaiting(decision.request);
        return;
    }
    RefuseRequest why = refusal(
        decision.status, decision.outcome, decision.reason, decision.status == 503 ? shortRetryAfter : milliseconds(0));
    why.completedStatus = decision.completedStatus;
    this->refuse(now, *held, "key", why);
}

void RequestHolder::peerRestarted(TimePoint now, const PeerIdentity& current)
{
    const auto isEarlierLife = [&](const PeerIdentity& peer) {
        return peer.instance == current.instance && peer.incarnation < current.incarnation;
    };
    for (const std::uint64_t request : this->book.grantedTo(isEarlierLife)) {
        HeldRequest& held = *this->book.find(request);
        this->context.actions.emplace_back(CancelRun { this->context.self, request, held.claim, "claimer_restarted" });
        this->attemptUnknown(now, held, "claimer_restarted");
    }
}

void RequestHolder::offerToOwnHost(TimePoint now)
{
    if (!this->slots.isClaiming()) {
        return;
    }
    for (const std::uint64_t request : this->book.mostUrgent(offerWindow)) {
        HeldRequest& held = *this->book.find(request);
        const bool served = held.description.service == this->context.ownService;
        if (!held.ownTurn) {
            const bool atOnce = held.longRunning || this->slots.freeSlots() == 0 || this->isOwnTurn(now, held);
            held.ownTurn = atOnce ? now : now + peersFirst;
            held.nextOffer = now;
        }
        if (served && now >= *held.ownTurn && held.deadline > now
            && this->mayRunOn(held, this->context.self.instance)) {
            this->slots.offerReceived(now,
                { { this->context.self, request }, held.description.service, held.deadline, held.expectedRun,
                    held.longRunning });
        }
    }
}

void RequestHolder::offerToPeers(TimePoint now)
{
    for (const std::uint64_t request : this->book.mostUrgent(offerWindow)) {
        HeldRequest& held = *this->book.find(request);
        if (now < held.nextOffer) {
            continue;
        }
        const bool peersGoFirst = held.ownTurn && now < *held.ownTurn;
        held.nextOffer = peersGoFirst ? *held.ownTurn : now + offerRenewal;
        for (const PeerIdentity& peer : this->peersFor(now, held)) {
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

void RequestHolder::refuseLate(TimePoint now, std::uint64_t request)
{
    HeldRequest* held = this->book.find(request);
    if (held == nullptr) {
        return; // ended together with the request whose answer it shared
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
        return peer != this->context.self && (state == nullptr || now - state->lastHeard > claimerSilence);
    };
    for (const std::uint64_t request : this->book.grantedTo(isSilent)) {
        HeldRequest& held = *this->book.find(request);
        this->cancelGrant(held, "claimer_silent");
        this->attemptUnknown(now, held, "claimer_silent");
    }
}

void RequestHolder::tick(TimePoint now)
{
    for (const std::uint64_t request : this->book.hopeless(now)) {
        this->refuseLate(now, request);
    }
    for (const std::uint64_t request : this->book.overdue(now)) {
        this->refuseLate(now, request);
    }
    for (const std::uint64_t request : this->sharedRuns.releaseOverdue(now)) {
        this->book.makeWaiting(request);
    }
    const Configuration* configuration = this->context.view ? &this->context.view->configuration() : nullptr;
    KeyRequests::TickResult keys = this->keyRequests.tick(now, configuration);
    this->keyMessages.insert(this->keyMessages.end(), keys.messages.begin(), keys.messages.end());
    for (const KeyDecision& decision : keys.decisions) {
        this->decideKey(now, decision);
    }
}

TimePoint RequestHolder::nextTimeout() const
{
    TimePoint next = std::min(this->book.nextDeadline(), this->keyRequests.nextTimeout());
    for (const std::uint64_t request : this->book.mostUrgent(offerWindow)) {
        next = std::min(next, this->book.find(request)->nextOffer);
    }
    return next;
}

}
