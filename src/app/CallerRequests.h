#pragma once

#include "app/CallerRequest.h"
#include "coordination/PeerIdentity.h"
#include "coordination/PlacementAction.h"
#include "messages.pb.h"
#include "protocol/Endpoint.h"
#include "protocol/HttpHead.h"
#include "transport/BackendEvent.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

namespace chicoryferry {

class AnswerStream;
class BackendClient;
class ConfigurationView;
class EdgeEventQueue;
class Logger;
class Metrics;
class RequestPlacement;

// The holder's side: tracks the requests of callers, the attempts to run them here or on a peer, and their answers.
class CallerRequests {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using MessageSender = std::function<bool(const Endpoint& peer, wire::PeerMessage)>;
    // Executes actions of placement, after those already queued.
    using ActionHandler = std::function<void(TimePoint, PlacementActions)>;

    // All references must outlive this object. backendSilence: see Settings.
    CallerRequests(PeerIdentity self, std::chrono::milliseconds backendSilence, Logger&, Metrics&, BackendClient&,
        RequestPlacement&, EdgeEventQueue&, const MessageSender&, ActionHandler);

    void setView(std::shared_ptr<const ConfigurationView>);

    // Called by the HTTP edge; see RequestBroker.
    std::uint64_t submit(TimePoint, const std::string& service, const Endpoint& caller, HttpRequestHead);
    void requestBody(TimePoint, std::uint64_t request, std::string data, bool last);
    void answerConsumed(TimePoint, std::uint64_t request, std::size_t bytes);
    void cancel(TimePoint, std::uint64_t request);

    // Execute actions of placement; CancelRun only for requests that this agent holds.
    void applyAction(TimePoint, const RunOwnRequest&);
    void applyAction(TimePoint, const GrantToPeer&);
    void applyAction(TimePoint, const CancelRun&);
    void applyAction(TimePoint, const RefuseRequest&);
    void applyAction(TimePoint, const ShareAnswer&);

    // Handles events of requests that this agent holds and runs itself; events of other runs are ignored.
    void handle(TimePoint, BackendEvent);

    // Messages from claimers; those that match no attempt in progress are dropped and counted. A message that a request
    // was not run is passed on to placement.
    void notRunReceived(
        TimePoint, const PeerIdentity&, std::uint64_t request, std::uint64_t claim, const wire::PeerMessage&);
    void answerHeadReceived(TimePoint, const PeerIdentity&, const wire::AnswerHead&);
    void answerBodyReceived(TimePoint, const PeerIdentity&, const wire::AnswerBody&);
    void answerEndReceived(TimePoint, const PeerIdentity&, const wire::AnswerEnd&);
    void requestCreditReceived(TimePoint, const PeerIdentity&, const wire::RequestCredit&);

    // True when an attempt granted to this peer is in progress.
    bool hasAttemptAt(const PeerIdentity&) const;

    // Ends the attempts and requests that have timed out; call at least every 100 ms.
    void checkTimeouts(TimePoint);

    // Ends the attempts granted to peers for which the view lists a newer incarnation.
    void endAttemptsAtRestartedPeers(TimePoint);

    std::size_t size() const { return this->requests.size(); }

private:
    CallerRequest* find(std::uint64_t request);
    void place(TimePoint, CallerRequest&);
    void refuse(TimePoint, CallerRequest&, const RefuseRequest&);
    void refuseHere(TimePoint, CallerRequest&, unsigned status, RunOutcome, const char* reason);
    void abandon(TimePoint, CallerRequest&, unsigned status, RunOutcome, const char* reason);
    void eraseIfDone(std::uint64_t request);

    CallerRequest* findForAttempt(TimePoint, std::uint64_t request, std::uint64_t claim);
    CallerRequest* findGranted(const char* kind, const PeerIdentity&, std::uint64_t request, std::uint64_t claim);
    void beginAttempt(CallerRequest&, RunAttempt);
    void endAttempt(TimePoint, CallerRequest&, const RunResult&);
    void dropAttempt(CallerRequest&);
    void stopAttempt(CallerRequest&, const std::string& reason);
    void failAnswer(TimePoint, CallerRequest&, const char* reason);
    bool isPeerSilent(TimePoint, const CallerRequest&) const;

    void forwardBody(TimePoint, CallerRequest&);
    void giveBodyCredit(CallerRequest&);
    void answerHeadArrived(TimePoint, CallerRequest&, HttpAnswerHead, const std::string& origin);
    void pumpAnswer(TimePoint, std::uint64_t owner, AnswerStream&);
    void giveAnswerCredit(TimePoint, std::uint64_t owner, AnswerStream&);
    void handleRunEvent(TimePoint, CallerRequest&, BackendEvent);
    void drop(const std::string& reason);

    PeerIdentity self;
    std::chrono::milliseconds peerSilenceLimit;
    Logger& logger;
    Metrics& metrics;
    BackendClient& client;
    RequestPlacement& placement;
    EdgeEventQueue& events;
    const MessageSender& sendMessage;
    ActionHandler execute;
    std::shared_ptr<const ConfigurationView> view;
    std::uint64_t nextRequest { 1 };
    std::unordered_map<std::uint64_t, CallerRequest> requests;
    std::unordered_map<std::uint64_t, std::uint64_t> localRuns; // request by backend run
};

}
