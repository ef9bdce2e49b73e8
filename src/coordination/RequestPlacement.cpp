#include "coordination/RequestPlacement.h"

#include "coordination/OfferBook.h"
#include "coordination/PeerTable.h"
#include "coordination/RendezvousRanking.h"
#include "coordination/SlotScheduler.h"
#include "state/ConfigurationView.h"
#include "support/Metrics.h"

#include <algorithm>
#include <utility>

namespace chicoryferry {

namespace {

using TimePoint = RequestPlacement::TimePoint;
using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds heartbeatInterval { 250 };
constexpr milliseconds offerRenewal { 250 };
constexpr std::size_t offeredPeers = 8;
constexpr std::size_t heartbeatPeers = 16;

// Requests of each size class that are on offer at once; later ones follow as these are granted. This bounds the
// messages and the memory of peers while a queue is long.
constexpr std::size_t offerWindow = 16;

// A request that this many hosts or grants gave back is refused.
constexpr unsigned mostAttempts = 6;

// A claimer that is silent for this long while its backend server may be running the request is taken as lost.
constexpr milliseconds claimerSilence { 5000 };

bool isNoFaultOfTheBackendServer(const std::string& reason)
{
    return reason == "draining" || reason == "withdrawn" || reason == "wrong_service";
}

std::uint64_t microsecondsUntil(TimePoint now, TimePoint then)
{
    return then > now ? static_cast<std::uint64_t>(duration_cast<microseconds>(then - now).count()) : 0;
}

milliseconds remaining(TimePoint now, TimePoint deadline)
{
    return std::max(milliseconds(0), duration_cast<milliseconds>(deadline - now));
}

}

class RequestPlacement::Implementation {
public:
    Implementation(PeerIdentity identity, Metrics& registry)
        : self(std::move(identity))
        , metrics(registry)
        , slots(this->self)
    {
    }

    void viewChanged(TimePoint, std::shared_ptr<const ConfigurationView>, bool historyComplete);
    void requestArrived(TimePoint, const RequestDescription&);
    void answerStarted(TimePoint, std::uint64_t request);
    void runEnded(TimePoint, std::uint64_t request, std::uint64_t claim, const RunResult&);
    void callerGone(TimePoint, std::uint64_t request);
    void peerRunEnded(TimePoint, const OfferKey&, std::uint64_t claim, const RunResult&);
    void messageReceived(TimePoint, const PeerIdentity& from, const wire::PeerMessage&);
    void startDraining(TimePoint);
    void tick(TimePoint);
    TimePoint nextTimeout() const;
    std::size_t requestsInFlight() const { return this->book.size() + this->slots.runCount() - this->ownRuns; }

    // Ends a call: fills free slots, offers what still waits, and hands out the actions.
    PlacementActions finish(TimePoint);

private:
    void updateOwnHost(TimePoint);
    bool mayRunOn(const HeldRequest&, const std::string& instance) const;
    const std::vector<std::uint32_t>* hostsFor(const HeldRequest&) const;
    std::vector<PeerIdentity> peersFor(TimePoint, const HeldRequest&) const;

    void offerToOwnHost(TimePoint);
    void claimSlots(TimePoint);
    void offerToPeers(TimePoint);
    void grantOwn(TimePoint, const SlotClaim&);
    void withdraw(HeldRequest&, const PeerIdentity* except);

    void attemptNotRun(TimePoint, HeldRequest&, const std::string& reason);
    void attemptUnknown(TimePoint, HeldRequest&, const std::string& reason);
    void requeue(TimePoint, HeldRequest&, const std::string& reason);
    void refuse(TimePoint, HeldRequest&, unsigned status, RunOutcome, const std::string& reason);
    void end(HeldRequest&);
    void cancelGrant(const HeldRequest&, const std::string& reason);
    void backendResult(TimePoint, const RunResult&);

    void claimReceived(TimePoint, const PeerIdentity&, const wire::Claim&);
    void offerReceived(TimePoint, const PeerIdentity&, const wire::Offer&);
    void grantReceived(TimePoint, const PeerIdentity&, const wire::Grant&);
    void grantReturned(TimePoint, const PeerIdentity&, std::uint64_t request, std::uint64_t claim, const std::string&);
    void heartbeatReceived(TimePoint, const PeerIdentity&, const wire::Heartbeat&);
    void peerRestarted(TimePoint, const PeerIdentity&);
    void peerSilent(TimePoint);

    void sendHeartbeats(TimePoint);
    void sendHeartbeat(const PeerIdentity&);
    wire::PeerMessage& send(const PeerIdentity&);

    PeerIdentity self;
    Metrics& metrics;
    std::shared_ptr<const ConfigurationView> view;
    OfferBook book;
    SlotScheduler slots;
    PeerTable peers;
    PlacementActions actions;
    std::string ownService;
    std::size_t ownRuns { 0 };
    bool draining { false };
    std::uint64_t heartbeatSequence { 0 };
    TimePoint nextHeartbeat;
};

void RequestPlacement::Implementation::viewChanged(
    TimePoint now, std::shared_ptr<const ConfigurationView> newView, bool /*historyComplete*/)
{
    this->view = std::move(newView);
    this->updateOwnHost(now);
    for (const std::uint64_t request : this->book.mostUrgent(this->book.size())) {
        HeldRequest* held = this->book.find(request);
        if (!this->mayRunOn(*held, this->self.instance)) {
            this->slots.offerWithdrawn({ this->self, request });
        }
        held->lastOffered = {};
    }
    this->sendHeartbeats(now);
}

void RequestPlacement::Implementation::updateOwnHost(TimePoint /*now*/)
{
    const Host* host = this->view ? this->view->hostByName(this->self.instance) : nullptr;
    const Service* service = host != nullptr ? this->view->serviceOfHost(host->name) : nullptr;
    this->ownService = service != nullptr ? service->name : std::string();
    this->slots.setSlots(host != nullptr ? host->slots : 0);
    this->slots.keepService(this->ownService);
    this->slots.setClaiming(service != nullptr && !this->draining && !this->view->isDraining(*host));
}

const std::vector<std::uint32_t>* RequestPlacement::Implementation::hostsFor(const HeldRequest& held) const
{
    if (!this->view) {
        return nullptr;
    }
    const Service* service = this->view->serviceByName(held.description.service);
    if (service == nullptr) {
        return nullptr;
    }
    for (const CallerGroup& group : this->view->configuration().callerGroups) {
        if (group.name == held.description.callerGroup) {
            return &this->view->hostsFor(*service, group).hosts;
        }
    }
    return nullptr;
}

bool RequestPlacement::Implementation::mayRunOn(const HeldRequest& held, const std::string& instance) const
{
    const std::vector<std::uint32_t>* hosts = this->hostsFor(held);
    if (hosts == nullptr || held.failedOn.contains(instance)) {
        return false;
    }
    return std::any_of(hosts->begin(), hosts->end(), [&](std::uint32_t index) {
        const Host& host = this->view->configuration().hosts[index];
        return host.name == instance && !this->view->isDraining(host);
    });
}

std::vector<PeerIdentity> RequestPlacement::Implementation::peersFor(TimePoint now, const HeldRequest& held) const
{
    struct Choice {
        PeerIdentity peer;
        bool free { false };
        std::uint64_t tie { 0 };
    };
    std::vector<Choice> choices;
    const std::vector<std::uint32_t>* hosts = this->hostsFor(held);
    for (std::size_t position = 0; hosts != nullptr && position < hosts->size(); ++position) {
        const Host& host = this->view->configuration().hosts[(*hosts)[position]];
        const std::optional<PeerIdentity> peer = this->peers.liveIdentity(now, host.name);
        if (!peer || host.name == this->self.instance || held.failedOn.contains(host.name)
            || this->view->isDraining(host) || this->peers.find(host.name)->draining) {
            continue;
        }
        const std::uint64_t tie = hostHash(host.name) ^ (held.description.request * 0x9E3779B97F4A7C15ULL);
        choices.push_back({ *peer, this->peers.find(host.name)->freeSlots > 0, tie });
    }
    std::sort(choices.begin(), choices.end(), [](const Choice& left, const Choice& right) {
        return left.free != right.free ? left.free : left.tie < right.tie;
    });
    choices.resize(std::min(choices.size(), offeredPeers));
    std::vector<PeerIdentity> chosen;
    chosen.reserve(choices.size());
    for (Choice& choice : choices) {
        chosen.push_back(std::move(choice.peer));
    }
    return chosen;
}

void RequestPlacement::Implementation::requestArrived(TimePoint now, const RequestDescription& description)
{
    HeldRequest held;
    held.description = description;
    held.arrived = now;
    held.deadline = now + description.route.deadline;
    held.longRunning = description.route.sizeClass == SizeClass::Long;
    this->book.add(std::move(held));
    HeldRequest& added = *this->book.find(description.request);
    const std::vector<std::uint32_t>* hosts = this->hostsFor(added);
    if (hosts == nullptr || hosts->empty()) {
        this->refuse(now, added, 503, RunOutcome::NotRun, "no_host");
    }
}

void RequestPlacement::Implementation::answerStarted(TimePoint /*now*/, std::uint64_t request)
{
    this->book.answerStarted(request);
}

void RequestPlacement::Implementation::runEnded(
    TimePoint now, std::uint64_t request, std::uint64_t claim, const RunResult& result)
{
    HeldRequest* held = this->book.find(request);
    if (held == nullptr || held->state != HeldRequest::State::Granted || held->claim != claim) {
        return;
    }
    if (held->claimer == this->self && this->slots.runEnded(now, { this->self, request }, claim)) {
        --this->ownRuns;
        this->backendResult(now, result);
    }
    switch (result.outcome) {
    case RunOutcome::Completed:
        this->end(*held);
        break;
    case RunOutcome::NotRun:
        this->attemptNotRun(now, *held, result.reason);
        break;
    case RunOutcome::Unknown:
        this->attemptUnknown(now, *held, result.reason);
        break;
    }
}

void RequestPlacement::Implementation::backendResult(TimePoint now, const RunResult& result)
{
    const bool shed = result.outcome == RunOutcome::Completed && result.status == 503;
    if (shed || result.outcome == RunOutcome::NotRun) {
        this->slots.backendFailed(now);
    }
}

void RequestPlacement::Implementation::attemptNotRun(TimePoint now, HeldRequest& held, const std::string& reason)
{
    if (held.answerStarted) {
        this->attemptUnknown(now, held, reason);
        return;
    }
    if (!isNoFaultOfTheBackendServer(reason) && reason != "grant_expired") {
        held.failedOn.insert(held.claimer.instance);
    }
    this->requeue(now, held, reason);
}

void RequestPlacement::Implementation::attemptUnknown(TimePoint now, HeldRequest& held, const std::string& reason)
{
    held.unsolvedAttempt = true;
    this->refuse(now, held, 502, RunOutcome::Unknown, reason);
}

void RequestPlacement::Implementation::requeue(TimePoint now, HeldRequest& held, const std::string& reason)
{
    if (!held.description.bodyRetained) {
        this->refuse(now, held, 503, RunOutcome::NotRun, "body_not_retained");
        return;
    }
    if (held.attempt + 1 >= mostAttempts) {
        this->refuse(now, held, 503, RunOutcome::NotRun, "attempts_exhausted");
        return;
    }
    this->metrics.retries("placement", reason).Increment();
    this->book.takeBack(held.description.request, held.claimer, held.claim);
    held.lastOffered = {};
}

void RequestPlacement::Implementation::refuse(
    TimePoint /*now*/, HeldRequest& held, unsigned status, RunOutcome outcome, const std::string& reason)
{
    // An earlier attempt that may have run decides what the caller can be told.
    const RunOutcome stated = held.unsolvedAttempt ? RunOutcome::Unknown : outcome;
    this->metrics.refusals("placement", reason).Increment();
    this->actions.emplace_back(
        RefuseRequest { held.description.request, status, stated, reason, milliseconds(status == 503 ? 1000 : 0) });
    this->end(held);
}

void RequestPlacement::Implementation::end(HeldRequest& held)
{
    this->withdraw(held, nullptr);
    this->book.remove(held.description.request);
}

void RequestPlacement::Implementation::withdraw(HeldRequest& held, const PeerIdentity* except)
{
    this->slots.offerWithdrawn({ this->self, held.description.request });
    for (const PeerIdentity& peer : held.offeredTo) {
        if (except == nullptr || peer != *except) {
            this->send(peer).mutable_offer_withdrawn()->set_request(held.description.request);
        }
    }
    held.offeredTo.clear();
}

void RequestPlacement::Implementation::cancelGrant(const HeldRequest& held, const std::string& reason)
{
    const std::uint64_t request = held.description.request;
    this->actions.emplace_back(CancelRun { this->self, request, held.claim, reason });
    if (held.claimer == this->self) {
        this->ownRuns -= this->slots.cancel({ this->self, request }, held.claim) ? 1 : 0;
        return;
    }
    wire::Cancel& cancel = *this->send(held.claimer).mutable_cancel();
    cancel.set_request(request);
    cancel.set_claim(held.claim);
    cancel.set_reason(reason);
}

void RequestPlacement::Implementation::callerGone(TimePoint /*now*/, std::uint64_t request)
{
    HeldRequest* held = this->book.find(request);
    if (held == nullptr) {
        return;
    }
    if (held->state == HeldRequest::State::Granted) {
        this->cancelGrant(*held, "caller_gone");
    }
    this->end(*held);
}

void RequestPlacement::Implementation::peerRunEnded(
    TimePoint now, const OfferKey& key, std::uint64_t claim, const RunResult& result)
{
    if (!this->slots.runEnded(now, key, claim)) {
        return;
    }
    this->backendResult(now, result);
    if (result.outcome == RunOutcome::NotRun) {
        wire::NotRun& notRun = *this->send(key.holder).mutable_not_run();
        notRun.set_request(key.request);
        notRun.set_claim(claim);
        notRun.set_reason(result.reason);
    }
}

void RequestPlacement::Implementation::messageReceived(
    TimePoint now, const PeerIdentity& from, const wire::PeerMessage& message)
{
    if (from.instance == this->self.instance) {
        this->metrics.drops("placement", "own_message").Increment();
        return;
    }
    switch (this->peers.heardFrom(now, from)) {
    case PeerTable::Sighting::Outdated:
        this->metrics.drops("placement", "outdated_incarnation").Increment();
        return;
    case PeerTable::Sighting::Restarted:
        this->peerRestarted(now, from);
        this->sendHeartbeat(from);
        break;
    case PeerTable::Sighting::New:
        this->sendHeartbeat(from);
        break;
    case PeerTable::Sighting::Known:
        break;
    }
    switch (message.body_case()) {
    case wire::PeerMessage::kOffer:
        this->offerReceived(now, from, message.offer());
        break;
    case wire::PeerMessage::kOfferWithdrawn:
        this->slots.offerWithdrawn({ from, message.offer_withdrawn().request() });
        break;
    case wire::PeerMessage::kClaim:
        this->claimReceived(now, from, message.claim());
        break;
    case wire::PeerMessage::kClaimRejected:
        this->slots.claimRejected(now, { from, message.claim_rejected().request() }, message.claim_rejected().claim());
        break;
    case wire::PeerMessage::kGrant:
        this->grantReceived(now, from, message.grant());
        break;
    case wire::PeerMessage::kGrantExpired:
        this->grantReturned(
            now, from, message.grant_expired().request(), message.grant_expired().claim(), "grant_expired");
        break;
    case wire::PeerMessage::kNotRun:
        this->grantReturned(
            now, from, message.not_run().request(), message.not_run().claim(), message.not_run().reason());
        break;
    case wire::PeerMessage::kCancel:
        if (this->slots.cancel({ from, message.cancel().request() }, message.cancel().claim())) {
            this->actions.emplace_back(
                CancelRun { from, message.cancel().request(), message.cancel().claim(), message.cancel().reason() });
        }
        break;
    case wire::PeerMessage::kHeartbeat:
        this->heartbeatReceived(now, from, message.heartbeat());
        break;
    default:
        this->metrics.drops("placement", "unexpected_message").Increment();
        break;
    }
}

void RequestPlacement::Implementation::offerReceived(TimePoint now, const PeerIdentity& from, const wire::Offer& offer)
{
    if (offer.service() != this->ownService || !this->slots.isClaiming()) {
        return;
    }
    KnownOffer known;
    known.key = { from, offer.request() };
    known.service = offer.service();
    known.deadline = now + microseconds(offer.remaining_deadline_us());
    known.expectedRun = microseconds(offer.expected_run_us());
    known.longRunning = offer.long_running();
    this->slots.offerReceived(now, known);
}

void RequestPlacement::Implementation::claimReceived(TimePoint now, const PeerIdentity& from, const wire::Claim& claim)
{
    HeldRequest* held = this->book.find(claim.request());
    if (held != nullptr && this->book.isGranted(claim.request(), from, claim.claim())) {
        return; // a repeated message
    }
    const bool wanted = held != nullptr && held->deadline - held->expectedRun >= now && held->offeredTo.contains(from)
        && this->mayRunOn(*held, from.instance);
    if (!wanted || !this->book.grant(now, claim.request(), from, claim.claim())) {
        wire::ClaimRejected& rejected = *this->send(from).mutable_claim_rejected();
        rejected.set_request(claim.request());
        rejected.set_claim(claim.claim());
        return;
    }
    this->withdraw(*held, &from);
    this->actions.emplace_back(GrantToPeer { claim.request(), claim.claim(), from, remaining(now, held->deadline) });
}

void RequestPlacement::Implementation::grantReceived(TimePoint now, const PeerIdentity& from, const wire::Grant& grant)
{
    const OfferKey key { from, grant.request() };
    switch (this->slots.grantReceived(now, key, grant.claim())) {
    case GrantVerdict::Run:
        this->actions.emplace_back(RunPeerRequest { from, grant.request(), grant.claim() });
        return;
    case GrantVerdict::Expired: {
        this->metrics.drops("placement", "grant_expired").Increment();
        wire::GrantExpired& expired = *this->send(from).mutable_grant_expired();
        expired.set_request(grant.request());
        expired.set_claim(grant.claim());
        return;
    }
    case GrantVerdict::Withdrawn: {
        this->metrics.drops("placement", "grant_withdrawn").Increment();
        wire::NotRun& notRun = *this->send(from).mutable_not_run();
        notRun.set_request(grant.request());
        notRun.set_claim(grant.claim());
        notRun.set_reason(this->slots.isClaiming() ? "withdrawn" : "draining");
        return;
    }
    case GrantVerdict::Ignore:
        this->metrics.drops("placement", "grant_unknown").Increment();
        return;
    }
}

void RequestPlacement::Implementation::grantReturned(
    TimePoint now, const PeerIdentity& from, std::uint64_t request, std::uint64_t claim, const std::string& reason)
{
    if (this->book.isGranted(request, from, claim)) {
        this->attemptNotRun(now, *this->book.find(request), reason);
    }
}

void RequestPlacement::Implementation::heartbeatReceived(
    TimePoint /*now*/, const PeerIdentity& from, const wire::Heartbeat& heartbeat)
{
    this->peers.heartbeatReceived(
        from, heartbeat.sequence(), heartbeat.free_slots(), heartbeat.queued(), heartbeat.draining());
}

void RequestPlacement::Implementation::peerRestarted(TimePoint now, const PeerIdentity& peer)
{
    const auto isEarlierLife = [&](const PeerIdentity& other) {
        return other.instance == peer.instance && other.incarnation < peer.incarnation;
    };
    for (const std::uint64_t request : this->book.grantedTo(isEarlierLife)) {
        this->attemptUnknown(now, *this->book.find(request), "claimer_restarted");
    }
    for (const PeerIdentity& holder : this->slots.holders()) {
        if (!isEarlierLife(holder)) {
            continue;
        }
        for (const SlotClaim& run : this->slots.holderGone(holder)) {
            this->actions.emplace_back(CancelRun { run.key.holder, run.key.request, run.claim, "holder_restarted" });
        }
    }
}

void RequestPlacement::Implementation::peerSilent(TimePoint now)
{
    const auto isSilent = [&](const PeerIdentity& peer) {
        const PeerState* state = this->peers.find(peer.instance);
        return peer != this->self && (state == nullptr || now - state->lastHeard > claimerSilence);
    };
    for (const std::uint64_t request : this->book.grantedTo(isSilent)) {
        HeldRequest& held = *this->book.find(request);
        this->cancelGrant(held, "claimer_silent");
        this->attemptUnknown(now, held, "claimer_silent");
    }
    for (const PeerIdentity& holder : this->slots.holders()) {
        if (!isSilent(holder)) {
            continue;
        }
        for (const SlotClaim& run : this->slots.holderGone(holder)) {
            this->actions.emplace_back(CancelRun { run.key.holder, run.key.request, run.claim, "holder_silent" });
        }
    }
}

void RequestPlacement::Implementation::startDraining(TimePoint now)
{
    this->draining = true;
    this->slots.setClaiming(false);
    this->sendHeartbeats(now);
}

void RequestPlacement::Implementation::tick(TimePoint now)
{
    this->peers.tick(now);
    this->peerSilent(now);
    this->slots.tick(now);
    for (const std::uint64_t request : this->book.hopeless(now)) {
        this->refuse(now, *this->book.find(request), 503, RunOutcome::NotRun, "deadline_unreachable");
    }
    for (const std::uint64_t request : this->book.overdue(now)) {
        HeldRequest& held = *this->book.find(request);
        this->cancelGrant(held, "deadline_exceeded");
        this->refuse(now, held, 504, RunOutcome::Unknown, "deadline_exceeded");
    }
    if (now >= this->nextHeartbeat) {
        this->sendHeartbeats(now);
    }
}

TimePoint RequestPlacement::Implementation::nextTimeout() const
{
    return std::min({ this->nextHeartbeat, this->slots.nextTimeout(), this->book.nextDeadline() });
}

PlacementActions RequestPlacement::Implementation::finish(TimePoint now)
{
    this->offerToOwnHost(now);
    this->claimSlots(now);
    this->offerToPeers(now);
    return std::exchange(this->actions, {});
}

void RequestPlacement::Implementation::offerToOwnHost(TimePoint now)
{
    if (!this->slots.isClaiming()) {
        return;
    }
    for (const std::uint64_t request : this->book.mostUrgent(offerWindow)) {
        const HeldRequest& held = *this->book.find(request);
        const bool served = held.description.service == this->ownService;
        if (served && held.deadline > now && this->mayRunOn(held, this->self.instance)) {
            this->slots.offerReceived(now,
                { { this->self, request }, held.description.service, held.deadline, held.expectedRun,
                    held.longRunning });
        }
    }
}

void RequestPlacement::Implementation::claimSlots(TimePoint now)
{
    for (const SlotClaim& made : this->slots.claimOffers(now)) {
        if (made.key.holder == this->self) {
            this->grantOwn(now, made);
            continue;
        }
        wire::Claim& claim = *this->send(made.key.holder).mutable_claim();
        claim.set_request(made.key.request);
        claim.set_claim(made.claim);
    }
}

void RequestPlacement::Implementation::grantOwn(TimePoint now, const SlotClaim& made)
{
    if (!this->book.grant(now, made.key.request, this->self, made.claim)) {
        this->slots.claimRejected(now, made.key, made.claim);
        this->slots.offerWithdrawn(made.key);
        return;
    }
    this->slots.grantReceived(now, made.key, made.claim);
    ++this->ownRuns;
    HeldRequest& held = *this->book.find(made.key.request);
    this->withdraw(held, nullptr);
    this->actions.emplace_back(RunOwnRequest { made.key.request, made.claim, remaining(now, held.deadline) });
}

void RequestPlacement::Implementation::offerToPeers(TimePoint now)
{
    for (const std::uint64_t request : this->book.mostUrgent(offerWindow)) {
        HeldRequest& held = *this->book.find(request);
        if (now - held.lastOffered < offerRenewal && held.lastOffered != TimePoint {}) {
            continue;
        }
        held.lastOffered = now;
        for (const PeerIdentity& peer : this->peersFor(now, held)) {
            held.offeredTo.insert(peer);
            wire::Offer& offer = *this->send(peer).mutable_offer();
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

void RequestPlacement::Implementation::sendHeartbeats(TimePoint now)
{
    this->nextHeartbeat = now + heartbeatInterval;
    ++this->heartbeatSequence;
    std::set<PeerIdentity> recipients;
    for (const PeerIdentity& peer : this->peers.livePeers(now)) {
        recipients.insert(peer);
    }
    const Service* service = this->view ? this->view->serviceByName(this->ownService) : nullptr;
    if (service != nullptr) {
        for (const std::uint32_t index : this->view->hostsOf(*service).hosts) {
            const Host& host = this->view->configuration().hosts[index];
            const PeerState* state = this->peers.find(host.name);
            recipients.insert({ host.name, state != nullptr ? state->incarnation : host.incarnation });
        }
    }
    std::size_t sent = 0;
    // Starts behind the own identity, so that in a large service each agent is heard by as many peers as it hears.
    auto next = recipients.upper_bound(this->self);
    for (std::size_t seen = 0; seen < recipients.size() && sent < heartbeatPeers; ++seen) {
        if (next == recipients.end()) {
            next = recipients.begin();
        }
        if (next->instance != this->self.instance) {
            this->sendHeartbeat(*next);
            ++sent;
        }
        ++next;
    }
}

void RequestPlacement::Implementation::sendHeartbeat(const PeerIdentity& peer)
{
    wire::Heartbeat& heartbeat = *this->send(peer).mutable_heartbeat();
    heartbeat.set_free_slots(this->slots.isClaiming() ? this->slots.freeSlots() : 0);
    heartbeat.set_queued(static_cast<std::uint32_t>(this->book.waitingCount()));
    heartbeat.set_sequence(this->heartbeatSequence);
    heartbeat.set_draining(!this->slots.isClaiming());
}

wire::PeerMessage& RequestPlacement::Implementation::send(const PeerIdentity& peer)
{
    this->actions.emplace_back(SendToPeer { peer, {} });
    wire::PeerMessage& message = std::get<SendToPeer>(this->actions.back()).message;
    message.mutable_sender()->set_instance(this->self.instance);
    message.mutable_sender()->set_incarnation(this->self.incarnation);
    return message;
}

RequestPlacement::RequestPlacement(PeerIdentity self, Metrics& metrics)
    : implementation(std::make_unique<Implementation>(std::move(self), metrics))
{
}

RequestPlacement::~RequestPlacement() = default;

PlacementActions RequestPlacement::viewChanged(
    TimePoint now, std::shared_ptr<const ConfigurationView> view, bool historyComplete)
{
    this->implementation->viewChanged(now, std::move(view), historyComplete);
    return this->implementation->finish(now);
}

PlacementActions RequestPlacement::requestArrived(TimePoint now, const RequestDescription& description)
{
    this->implementation->requestArrived(now, description);
    return this->implementation->finish(now);
}

PlacementActions RequestPlacement::answerStarted(TimePoint now, std::uint64_t request)
{
    this->implementation->answerStarted(now, request);
    return this->implementation->finish(now);
}

PlacementActions RequestPlacement::runEnded(
    TimePoint now, std::uint64_t request, std::uint64_t claim, const RunResult& result)
{
    this->implementation->runEnded(now, request, claim, result);
    return this->implementation->finish(now);
}

PlacementActions RequestPlacement::callerGone(TimePoint now, std::uint64_t request)
{
    this->implementation->callerGone(now, request);
    return this->implementation->finish(now);
}

PlacementActions RequestPlacement::peerRunEnded(
    TimePoint now, const PeerIdentity& holder, std::uint64_t request, std::uint64_t claim, const RunResult& result)
{
    this->implementation->peerRunEnded(now, { holder, request }, claim, result);
    return this->implementation->finish(now);
}

PlacementActions RequestPlacement::messageReceived(
    TimePoint now, const PeerIdentity& from, const wire::PeerMessage& message)
{
    this->implementation->messageReceived(now, from, message);
    return this->implementation->finish(now);
}

PlacementActions RequestPlacement::startDraining(TimePoint now)
{
    this->implementation->startDraining(now);
    return this->implementation->finish(now);
}

PlacementActions RequestPlacement::tick(TimePoint now)
{
    this->implementation->tick(now);
    return this->implementation->finish(now);
}

RequestPlacement::TimePoint RequestPlacement::nextTimeout() const { return this->implementation->nextTimeout(); }

std::size_t RequestPlacement::requestsInFlight() const { return this->implementation->requestsInFlight(); }

}
