#include "app/RequestBroker.h"

#include "app/CallerRequests.h"
#include "app/EdgeEventQueue.h"
#include "app/GrantedRuns.h"
#include "app/PeerAddress.h"
#include "app/Settings.h"
#include "coordination/RequestPlacement.h"
#include "messages.pb.h"
#include "state/ConfigurationView.h"
#include "support/Metrics.h"
#include "transport/BackendClient.h"

#include <deque>
#include <iterator>

namespace chicoryferry {

namespace {

constexpr const char* step = "broker";

}

// Connects the components: RequestPlacement decides, CallerRequests and GrantedRuns execute its actions.
class RequestBroker::Implementation {
public:
    Implementation(const Settings&, Logger&, Metrics&, EventLoop&, EventHandler onEvent, MessageSender messageSender);

    void viewChanged(TimePoint, std::shared_ptr<const ConfigurationView>, bool historyComplete);
    void messageReceived(TimePoint, const wire::PeerMessage&);
    void startDraining(TimePoint);
    void tick(TimePoint);
    TimePoint nextTimeout() const;
    std::size_t requestsInFlight() const { return this->callerRequests.size() + this->grantedRuns.size(); }

    PeerIdentity self;
    Metrics& metrics;
    MessageSender sendMessage;
    EdgeEventQueue edgeEvents;
    RequestPlacement placement;
    BackendClient client;
    GrantedRuns grantedRuns;
    CallerRequests callerRequests;

private:
    void execute(TimePoint, PlacementActions);
    template <typename Action> void carryOut(TimePoint now, const Action& action)
    {
        this->callerRequests.applyAction(now, action);
    }
    void carryOut(TimePoint, const SendToPeer&);
    void carryOut(TimePoint, const RunPeerRequest&);
    void carryOut(TimePoint, const CancelRun&);
    void backendEvent(TimePoint, BackendEvent);
    void reportGrantedRunEnd(TimePoint, const std::optional<GrantedRunEnd>&);
    void endAbandonedRuns(TimePoint);
    bool admitSender(const PeerIdentity&, Endpoint& address);
    void dispatch(TimePoint, const PeerIdentity&, const Endpoint& address, const wire::PeerMessage&);
    void grantMessage(TimePoint, const PeerIdentity&, const Endpoint& address, const wire::PeerMessage&);
    void drop(const std::string& reason) { this->metrics.drops(step, reason).Increment(); }

    std::shared_ptr<const ConfigurationView> view;
    std::deque<PlacementAction> actions;
    bool executing { false };
};

RequestBroker::Implementation::Implementation(const Settings& settings, Logger& logger, Metrics& processMetrics,
    EventLoop& eventLoop, EventHandler onEvent, MessageSender messageSender)
    : self { settings.instance, settings.incarnation }
    , metrics(processMetrics)
    , sendMessage(std::move(messageSender))
    , edgeEvents(eventLoop, std::move(onEvent))
    , placement(self, processMetrics)
    , client(eventLoop, settings.backendServer, settings.backendSilence,
          [this](TimePoint now, BackendEvent event) { this->backendEvent(now, std::move(event)); })
    , grantedRuns(client, processMetrics, sendMessage)
    , callerRequests(self, settings.backendSilence, logger, processMetrics, client, placement, edgeEvents, sendMessage,
          [this](TimePoint now, PlacementActions further) { this->execute(now, std::move(further)); })
{
}

void RequestBroker::Implementation::execute(TimePoint now, PlacementActions further)
{
    std::move(further.begin(), further.end(), std::back_inserter(this->actions));
    if (this->executing) {
        return; // the outer call executes them, in order
    }
    this->executing = true;
    while (!this->actions.empty()) {
        const PlacementAction action = std::move(this->actions.front());
        this->actions.pop_front();
        std::visit([&](const auto& any) { this->carryOut(now, any); }, action);
    }
    this->executing = false;
}

void RequestBroker::Implementation::carryOut(TimePoint, const SendToPeer& action)
{
    const std::optional<Endpoint> address = peerAddressOf(this->view.get(), action.peer);
    if (!address) {
        this->drop("peer_not_listed");
    } else if (!this->sendMessage(*address, action.message)) {
        this->drop("message_not_sent");
    }
}

void RequestBroker::Implementation::carryOut(TimePoint now, const CancelRun& action)
{
    if (action.holder == this->self) {
        this->callerRequests.applyAction(now, action);
    } else if (!this->grantedRuns.cancel({ action.holder, action.request, action.claim })) {
        this->drop("cancel_without_run");
    }
}

void RequestBroker::Implementation::carryOut(TimePoint now, const RunPeerRequest& action)
{
    if (!this->grantedRuns.start(now, action)) {
        this->drop("run_without_grant");
        const RunResult result { RunOutcome::NotRun, 0, "run_without_grant" };
        this->execute(now, this->placement.peerRunEnded(now, action.holder, action.request, action.claim, result));
    }
}

void RequestBroker::Implementation::backendEvent(TimePoint now, BackendEvent event)
{
    const std::uint64_t run = std::visit([](const auto& any) { return any.run; }, event);
    if (this->grantedRuns.ownsRun(run)) {
        this->reportGrantedRunEnd(now, this->grantedRuns.handle(now, std::move(event)));
    } else {
        this->callerRequests.handle(now, std::move(event));
    }
    this->edgeEvents.flush();
}

void RequestBroker::Implementation::reportGrantedRunEnd(TimePoint now, const std::optional<GrantedRunEnd>& ended)
{
    if (ended) {
        this->execute(now,
            this->placement.peerRunEnded(now, ended->key.holder, ended->key.request, ended->key.claim, ended->result));
    }
}

// Returns whether messages of the sender are processed; address is then its peer address, or left unset when the view
// does not list it. A peer that the view no longer lists may finish the runs in progress.
bool RequestBroker::Implementation::admitSender(const PeerIdentity& peer, Endpoint& address)
{
    const Host* host = this->view ? this->view->hostByName(peer.instance) : nullptr;
    if (peer.instance == this->self.instance) {
        this->drop("own_message");
        return false;
    }
    if (host != nullptr) {
        address = host->peerAddress;
        if (host->incarnation != peer.incarnation) {
            this->drop("wrong_incarnation");
            return false;
        }
        return true;
    }
    if (this->callerRequests.hasAttemptAt(peer) || this->grantedRuns.hasRunFor(peer)) {
        return true;
    }
    this->drop("unknown_peer");
    return false;
}

void RequestBroker::Implementation::messageReceived(TimePoint now, const wire::PeerMessage& message)
{
    const PeerIdentity peer { message.sender().instance(), message.sender().incarnation() };
    Endpoint address;
    if (this->admitSender(peer, address)) {
        this->dispatch(now, peer, address, message);
    }
    this->edgeEvents.flush();
}

void RequestBroker::Implementation::dispatch(
    TimePoint now, const PeerIdentity& peer, const Endpoint& address, const wire::PeerMessage& message)
{
    switch (message.body_case()) {
    case wire::PeerMessage::kGrant:
        this->grantMessage(now, peer, address, message);
        break;
    case wire::PeerMessage::kGrantExpired:
        this->callerRequests.notRunReceived(
            now, peer, message.grant_expired().request(), message.grant_expired().claim(), message);
        break;
    case wire::PeerMessage::kNotRun:
        this->callerRequests.notRunReceived(now, peer, message.not_run().request(), message.not_run().claim(), message);
        break;
    case wire::PeerMessage::kAnswerHead:
        this->callerRequests.answerHeadReceived(now, peer, message.answer_head());
        break;
    case wire::PeerMessage::kAnswerBody:
        this->callerRequests.answerBodyReceived(now, peer, message.answer_body());
        break;
    case wire::PeerMessage::kAnswerEnd:
        this->callerRequests.answerEndReceived(now, peer, message.answer_end());
        break;
    case wire::PeerMessage::kRequestCredit:
        this->callerRequests.requestCreditReceived(now, peer, message.request_credit());
        break;
    case wire::PeerMessage::kRequestBody:
        this->reportGrantedRunEnd(now, this->grantedRuns.bodyReceived(now, peer, message.request_body()));
        break;
    case wire::PeerMessage::kAnswerCredit:
        this->grantedRuns.creditReceived(now, peer, message.answer_credit());
        break;
    case wire::PeerMessage::BODY_NOT_SET:
        this->drop("message_malformed");
        break;
    default:
        // From a peer that the view does not list, placement receives only cancellations of runs in progress.
        if (address.port == 0 && !message.has_cancel()) {
            this->drop("unknown_peer");
        } else {
            this->execute(now, this->placement.messageReceived(now, peer, message));
        }
        break;
    }
}

void RequestBroker::Implementation::grantMessage(
    TimePoint now, const PeerIdentity& peer, const Endpoint& address, const wire::PeerMessage& message)
{
    if (address.port == 0) {
        this->drop("unknown_peer");
    } else if (this->grantedRuns.storePendingGrant(now, peer, address, message.grant())) {
        this->execute(now, this->placement.messageReceived(now, peer, message));
        this->grantedRuns.discardPendingGrant();
    }
}

void RequestBroker::Implementation::viewChanged(
    TimePoint now, std::shared_ptr<const ConfigurationView> newView, bool historyComplete)
{
    this->view = std::move(newView);
    this->callerRequests.setView(this->view);
    this->execute(now, this->placement.viewChanged(now, this->view, historyComplete));
    if (this->view) {
        this->callerRequests.endAttemptsAtRestartedPeers(now);
    }
    this->endAbandonedRuns(now);
    this->edgeEvents.scheduleFlush();
}

void RequestBroker::Implementation::endAbandonedRuns(TimePoint now)
{
    if (!this->view) {
        return;
    }
    for (const GrantedRunEnd& ended : this->grantedRuns.endAbandonedRuns(now, *this->view)) {
        this->reportGrantedRunEnd(now, ended);
    }
}

void RequestBroker::Implementation::startDraining(TimePoint now)
{
    this->execute(now, this->placement.startDraining(now));
    this->edgeEvents.scheduleFlush();
}

void RequestBroker::Implementation::tick(TimePoint now)
{
    this->client.tick(now);
    this->callerRequests.checkTimeouts(now);
    this->endAbandonedRuns(now);
    this->execute(now, this->placement.tick(now));
    this->edgeEvents.flush();
}

RequestBroker::TimePoint RequestBroker::Implementation::nextTimeout() const
{
    return this->edgeEvents.isEmpty() ? this->placement.nextTimeout() : TimePoint::min();
}

RequestBroker::RequestBroker(const Settings& settings, Logger& logger, Metrics& metrics, EventLoop& eventLoop,
    EventHandler onEvent, MessageSender sendMessage)
    : implementation(std::make_unique<Implementation>(
        settings, logger, metrics, eventLoop, std::move(onEvent), std::move(sendMessage)))
{
}

RequestBroker::~RequestBroker() = default;

void RequestBroker::viewChanged(TimePoint now, std::shared_ptr<const ConfigurationView> view, bool historyComplete)
{
    this->implementation->viewChanged(now, std::move(view), historyComplete);
}

std::uint64_t RequestBroker::submit(
    TimePoint now, const std::string& service, const Endpoint& caller, HttpRequestHead head)
{
    Implementation& broker = *this->implementation;
    const std::uint64_t request = broker.callerRequests.submit(now, service, caller, std::move(head));
    broker.edgeEvents.scheduleFlush();
    return request;
}

void RequestBroker::requestBody(TimePoint now, std::uint64_t request, std::string data, bool last)
{
    this->implementation->callerRequests.requestBody(now, request, std::move(data), last);
    this->implementation->edgeEvents.scheduleFlush();
}

void RequestBroker::answerConsumed(TimePoint now, std::uint64_t request, std::size_t bytes)
{
    this->implementation->callerRequests.answerConsumed(now, request, bytes);
    this->implementation->edgeEvents.scheduleFlush();
}

void RequestBroker::cancel(TimePoint now, std::uint64_t request)
{
    this->implementation->callerRequests.cancel(now, request);
    this->implementation->edgeEvents.scheduleFlush();
}

void RequestBroker::messageReceived(TimePoint now, const wire::PeerMessage& message)
{
    this->implementation->messageReceived(now, message);
}

void RequestBroker::startDraining(TimePoint now) { this->implementation->startDraining(now); }

void RequestBroker::tick(TimePoint now) { this->implementation->tick(now); }

RequestBroker::TimePoint RequestBroker::nextTimeout() const { return this->implementation->nextTimeout(); }

std::size_t RequestBroker::requestsInFlight() const { return this->implementation->requestsInFlight(); }

bool RequestBroker::isTransferringKeyRecords() const
{
    return this->implementation->placement.isTransferringKeyRecords();
}

}
