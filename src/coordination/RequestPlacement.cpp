#include "coordination/RequestPlacement.h"

#include "coordination/KeyCoordinator.h"
#include "coordination/PlacementContext.h"
#include "coordination/RequestHolder.h"
#include "coordination/SlotScheduler.h"
#include "state/ConfigurationView.h"
#include "support/Metrics.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chicoryferry {

namespace {

using TimePoint = RequestPlacement::TimePoint;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr milliseconds heartbeatInterval { 250 };
constexpr std::size_t maxHeartbeatRecipients = 16;

// Runs are cancelled if their holder has not been heard from for this long. By then the holder has given up the grants,
// which it does after 5 s without a message from the claimer.
constexpr milliseconds holderTimeout { 10000 };

}

class RequestPlacement::Implementation {
public:
    Implementation(PeerIdentity identity, Metrics& metrics)
        : context { std::move(identity), metrics, {}, {}, {}, {} }
        , slots(this->context.self)
        , holder(this->context, this->slots)
        , keys(this->context.self)
    {
    }

    void viewChanged(TimePoint, std::shared_ptr<const ConfigurationView>, bool historyComplete);
    void peerRunEnded(TimePoint, const OfferKey&, std::uint64_t claim, const RunResult&);
    void messageReceived(TimePoint, const PeerIdentity& from, const wire::PeerMessage&);
    void startDraining(TimePoint);
    void tick(TimePoint);
    TimePoint nextTimeout() const;
    std::size_t requestsInFlight() const;
    bool isTransferringKeyRecords() const { return this->keys.isTransferringRecords(); }

    RequestHolder& requestHolder() { return this->holder; }

    // Completes a public call: delivers pending key messages, fills free slots, offers the requests that still wait,
    // and returns the accumulated actions.
    PlacementActions finish(TimePoint);

private:
    void updateLocalHost();
    void dispatch(TimePoint, const PeerIdentity& from, const wire::PeerMessage&);
    void dispatchKeyMessage(TimePoint, const PeerIdentity& from, const wire::PeerMessage&);
    void deliverKeyMessages(TimePoint, const KeyMessages&);
    void fillFreeSlots(TimePoint);

    void offerReceived(TimePoint, const PeerIdentity&, const wire::Offer&);
    void grantReceived(TimePoint, const PeerIdentity&, const wire::Grant&);
    void cancelReceived(const PeerIdentity&, const wire::Cancel&);
    void peerRestarted(TimePoint, const PeerIdentity&);
    void cancelRunsOf(const PeerIdentity&, const std::string& reason);
    void cancelRunsOfSilentHolders(TimePoint);

    void sendNotRun(const OfferKey&, std::uint64_t claim, const std::string& reason);
    void sendHeartbeats(TimePoint);
    void sendHeartbeat(const PeerIdentity&);

    PlacementContext context;
    SlotScheduler slots;
    RequestHolder holder;
    KeyCoordinator keys;
    bool draining { false };
    std::uint64_t heartbeatSequence { 0 };
    TimePoint nextHeartbeat;
};

void RequestPlacement::Implementation::viewChanged(
    TimePoint now, std::shared_ptr<const ConfigurationView> newView, bool historyComplete)
{
    this->context.view = std::move(newView);
    this->updateLocalHost();
    this->deliverKeyMessages(
        now, this->keys.viewChanged(now, this->context.view, this->context.localService, historyComplete));
    this->holder.viewChanged(now);
    this->sendHeartbeats(now);
}

void RequestPlacement::Implementation::updateLocalHost()
{
    const Host* host = this->context.view->hostByName(this->context.self.instance);
    const Service* service = host != nullptr ? this->context.view->serviceOfHost(host->name) : nullptr;
    this->context.localService = service != nullptr ? service->name : std::string();
    this->slots.setSlots(host != nullptr ? host->slots : 0);
    this->slots.retainOnlyService(this->context.localService);
    this->slots.setClaiming(service != nullptr && !this->draining && !this->context.view->isDraining(*host));
}

void RequestPlacement::Implementation::peerRunEnded(
    TimePoint now, const OfferKey& key, std::uint64_t claim, const RunResult& result)
{
    if (!this->slots.runEnded(now, key, claim)) {
        return;
    }
    this->slots.backendResult(now, result);
    if (result.outcome == RunOutcome::NotRun) {
        this->sendNotRun(key, claim, result.reason);
    }
}

void RequestPlacement::Implementation::messageReceived(
    TimePoint now, const PeerIdentity& from, const wire::PeerMessage& message)
{
    if (from.instance == this->context.self.instance) {
        this->context.metrics.drops("placement", "own_message").Increment();
        return;
    }
    switch (this->context.peers.heardFrom(now, from)) {
    case PeerTable::SenderStatus::Outdated:
        this->context.metrics.drops("placement", "outdated_incarnation").Increment();
        return;
    case PeerTable::SenderStatus::Restarted:
        this->peerRestarted(now, from);
        this->sendHeartbeat(from);
        break;
    case PeerTable::SenderStatus::New:
        this->sendHeartbeat(from);
        break;
    case PeerTable::SenderStatus::Known:
        break;
    }
    this->dispatch(now, from, message);
}

void RequestPlacement::Implementation::dispatch(
    TimePoint now, const PeerIdentity& from, const wire::PeerMessage& message)
{
    switch (message.body_case()) {
    case wire::PeerMessage::kOffer:
        this->offerReceived(now, from, message.offer());
        break;
    case wire::PeerMessage::kOfferWithdrawn:
        this->slots.offerWithdrawn({ from, message.offer_withdrawn().request() });
        break;
    case wire::PeerMessage::kClaim:
        this->holder.claimReceived(now, from, message.claim());
        break;
    case wire::PeerMessage::kClaimRejected:
        this->slots.claimRejected(now, { from, message.claim_rejected().request() }, message.claim_rejected().claim());
        break;
    case wire::PeerMessage::kGrant:
        this->grantReceived(now, from, message.grant());
        break;
    case wire::PeerMessage::kGrantExpired:
        this->holder.grantReturned(
            now, from, message.grant_expired().request(), message.grant_expired().claim(), "grant_expired");
        break;
    case wire::PeerMessage::kNotRun:
        this->holder.grantReturned(
            now, from, message.not_run().request(), message.not_run().claim(), message.not_run().reason());
        break;
    case wire::PeerMessage::kCancel:
        this->cancelReceived(from, message.cancel());
        break;
    case wire::PeerMessage::kHeartbeat:
        this->context.peers.heartbeatReceived(from, message.heartbeat().sequence(), message.heartbeat().free_slots(),
            message.heartbeat().queued(), message.heartbeat().draining());
        break;
    default:
        this->dispatchKeyMessage(now, from, message);
        break;
    }
}

void RequestPlacement::Implementation::dispatchKeyMessage(
    TimePoint now, const PeerIdentity& from, const wire::PeerMessage& message)
{
    switch (message.body_case()) {
    case wire::PeerMessage::kKeyAcquire:
        this->deliverKeyMessages(now, this->keys.acquire(now, from, message.key_acquire()));
        break;
    case wire::PeerMessage::kKeyAnswer:
        this->holder.keyAnswered(now, from, message.key_answer());
        break;
    case wire::PeerMessage::kKeyFinish:
        this->deliverKeyMessages(now, this->keys.finish(now, from, message.key_finish()));
        break;
    case wire::PeerMessage::kKeyFence:
        this->deliverKeyMessages(now, this->keys.fence(now, from, message.key_fence()));
        break;
    case wire::PeerMessage::kKeyFenceAnswer:
        this->deliverKeyMessages(now, this->keys.fenceAnswer(now, from, message.key_fence_answer()));
        break;
    case wire::PeerMessage::kKeyRetirement:
        this->deliverKeyMessages(now, this->keys.retirement(now, from, message.key_retirement()));
        break;
    case wire::PeerMessage::kKeyRetirementAnswer:
        this->deliverKeyMessages(now, this->keys.retirementAnswer(now, from, message.key_retirement_answer()));
        break;
    default:
        this->context.metrics.drops("placement", "unexpected_message").Increment();
        break;
    }
}

void RequestPlacement::Implementation::deliverKeyMessages(TimePoint now, const KeyMessages& messages)
{
    for (const KeyMessage& message : messages) {
        if (message.to == this->context.self) {
            this->dispatchKeyMessage(now, this->context.self, message.message);
            continue;
        }
        wire::PeerMessage& sent = this->context.send(message.to);
        const wire::Sender sender = sent.sender();
        sent = message.message;
        *sent.mutable_sender() = sender;
    }
}

void RequestPlacement::Implementation::offerReceived(TimePoint now, const PeerIdentity& from, const wire::Offer& offer)
{
    if (offer.service() != this->context.localService || !this->slots.isClaiming()) {
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

void RequestPlacement::Implementation::grantReceived(TimePoint now, const PeerIdentity& from, const wire::Grant& grant)
{
    const OfferKey key { from, grant.request() };
    switch (this->slots.grantReceived(now, key, grant.claim())) {
    case GrantVerdict::Run:
        this->context.actions.emplace_back(RunPeerRequest { from, grant.request(), grant.claim() });
        return;
    case GrantVerdict::Expired: {
        this->context.metrics.drops("placement", "grant_expired").Increment();
        wire::GrantExpired& expired = *this->context.send(from).mutable_grant_expired();
        expired.set_request(grant.request());
        expired.set_claim(grant.claim());
        return;
    }
    case GrantVerdict::Withdrawn:
        this->context.metrics.drops("placement", "grant_withdrawn").Increment();
        this->sendNotRun(key, grant.claim(), this->slots.isClaiming() ? "withdrawn" : "draining");
        return;
    case GrantVerdict::Ignore:
        this->context.metrics.drops("placement", "grant_unknown").Increment();
        return;
    }
}

void RequestPlacement::Implementation::cancelReceived(const PeerIdentity& from, const wire::Cancel& cancel)
{
    if (this->slots.cancel({ from, cancel.request() }, cancel.claim())) {
        this->context.actions.emplace_back(CancelRun { from, cancel.request(), cancel.claim(), cancel.reason() });
    }
}

void RequestPlacement::Implementation::peerRestarted(TimePoint now, const PeerIdentity& peer)
{
    this->keys.holderRestarted(now, peer);
    this->holder.peerRestarted(now, peer);
    for (const PeerIdentity& known : this->slots.holders()) {
        if (known.instance == peer.instance && known.incarnation < peer.incarnation) {
            this->cancelRunsOf(known, "holder_restarted");
        }
    }
}

void RequestPlacement::Implementation::cancelRunsOf(const PeerIdentity& gone, const std::string& reason)
{
    for (const SlotClaim& run : this->slots.removeHolder(gone)) {
        this->context.actions.emplace_back(CancelRun { run.key.holder, run.key.request, run.claim, reason });
    }
}

void RequestPlacement::Implementation::cancelRunsOfSilentHolders(TimePoint now)
{
    for (const PeerIdentity& known : this->slots.holders()) {
        const PeerState* state = this->context.peers.find(known.instance);
        if (state == nullptr || now - state->lastHeard > holderTimeout) {
            this->cancelRunsOf(known, "holder_silent");
        }
    }
}

void RequestPlacement::Implementation::startDraining(TimePoint now)
{
    this->draining = true;
    this->slots.setClaiming(false);
    this->deliverKeyMessages(now, this->keys.leave(now));
    this->sendHeartbeats(now);
}

void RequestPlacement::Implementation::tick(TimePoint now)
{
    this->context.peers.tick(now);
    this->slots.tick(now);
    this->holder.tick(now);
    this->deliverKeyMessages(now, this->keys.tick(now));
    if (now >= this->nextHeartbeat) {
        this->cancelRunsOfSilentHolders(now);
        this->holder.checkSilentClaimers(now);
        this->sendHeartbeats(now);
    }
}

TimePoint RequestPlacement::Implementation::nextTimeout() const
{
    return std::min(
        { this->nextHeartbeat, this->slots.nextTimeout(), this->holder.nextTimeout(), this->keys.nextTimeout() });
}

std::size_t RequestPlacement::Implementation::requestsInFlight() const
{
    return this->holder.heldCount() + this->slots.runCount() - this->holder.localRunCount();
}

PlacementActions RequestPlacement::Implementation::finish(TimePoint now)
{
    for (KeyMessages messages = this->holder.takeKeyMessages(); !messages.empty();
         messages = this->holder.takeKeyMessages()) {
        this->deliverKeyMessages(now, messages);
    }
    this->holder.offerToLocalHost(now);
    this->fillFreeSlots(now);
    this->holder.offerToPeers(now);
    return std::exchange(this->context.actions, {});
}

void RequestPlacement::Implementation::fillFreeSlots(TimePoint now)
{
    for (const SlotClaim& made : this->slots.claimOffers(now)) {
        if (made.key.holder == this->context.self) {
            this->holder.localClaimMade(now, made);
            continue;
        }
        wire::Claim& claim = *this->context.send(made.key.holder).mutable_claim();
        claim.set_request(made.key.request);
        claim.set_claim(made.claim);
    }
}

void RequestPlacement::Implementation::sendNotRun(const OfferKey& key, std::uint64_t claim, const std::string& reason)
{
    wire::NotRun& notRun = *this->context.send(key.holder).mutable_not_run();
    notRun.set_request(key.request);
    notRun.set_claim(claim);
    notRun.set_reason(reason);
}

void RequestPlacement::Implementation::sendHeartbeats(TimePoint now)
{
    this->nextHeartbeat = now + heartbeatInterval;
    ++this->heartbeatSequence;
    std::set<PeerIdentity> recipients;
    for (const PeerIdentity& peer : this->context.peers.livePeers(now)) {
        recipients.insert(peer);
    }
    const Service* service
        = this->context.view ? this->context.view->serviceByName(this->context.localService) : nullptr;
    if (service != nullptr) {
        for (const std::uint32_t index : this->context.view->hostsOf(*service).hosts) {
            const Host& host = this->context.view->configuration().hosts[index];
            const PeerState* state = this->context.peers.find(host.name);
            recipients.insert({ host.name, state != nullptr ? state->incarnation : host.incarnation });
        }
    }
    std::size_t sent = 0;
    // Starts after the local identity in sorted order. In a service with more hosts than the limit, each agent thus
    // receives heartbeats from as many peers as it sends them to.
    auto next = recipients.upper_bound(this->context.self);
    for (std::size_t visited = 0; visited < recipients.size() && sent < maxHeartbeatRecipients; ++visited) {
        if (next == recipients.end()) {
            next = recipients.begin();
        }
        if (next->instance != this->context.self.instance) {
            this->sendHeartbeat(*next);
            ++sent;
        }
        ++next;
    }
}

void RequestPlacement::Implementation::sendHeartbeat(const PeerIdentity& peer)
{
    wire::Heartbeat& heartbeat = *this->context.send(peer).mutable_heartbeat();
    heartbeat.set_free_slots(this->slots.isClaiming() ? this->slots.freeSlots() : 0);
    heartbeat.set_queued(static_cast<std::uint32_t>(this->holder.waitingCount()));
    heartbeat.set_sequence(this->heartbeatSequence);
    heartbeat.set_draining(!this->slots.isClaiming());
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
    this->implementation->requestHolder().requestArrived(now, description);
    return this->implementation->finish(now);
}

PlacementActions RequestPlacement::answerStarted(TimePoint now, std::uint64_t request)
{
    this->implementation->requestHolder().answerStarted(request);
    return this->implementation->finish(now);
}

PlacementActions RequestPlacement::runEnded(
    TimePoint now, std::uint64_t request, std::uint64_t claim, const RunResult& result)
{
    this->implementation->requestHolder().runEnded(now, request, claim, result);
    return this->implementation->finish(now);
}

PlacementActions RequestPlacement::callerDisconnected(TimePoint now, std::uint64_t request)
{
    this->implementation->requestHolder().callerDisconnected(now, request);
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

bool RequestPlacement::isTransferringKeyRecords() const { return this->implementation->isTransferringKeyRecords(); }

}
