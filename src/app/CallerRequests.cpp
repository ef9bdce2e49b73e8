#include "app/CallerRequests.h"

#include "app/AnswerStream.h"
#include "app/DescribeRequest.h"
#include "app/EdgeEventQueue.h"
#include "app/ErrorAnswer.h"
#include "app/HolderMessages.h"
#include "app/PeerAddress.h"
#include "coordination/RequestPlacement.h"
#include "protocol/HttpHeadMessages.h"
#include "state/ConfigurationView.h"
#include "support/Logger.h"
#include "support/Metrics.h"
#include "support/Overloaded.h"
#include "transport/BackendClient.h"

#include <algorithm>
#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <vector>

namespace chicoryferry {

namespace {

constexpr const char* step = "broker";
constexpr const char* originHeader = "Chicoryferry-Origin";
// Added to the backend-silence time-out, so that the claimer reports a silent backend server before the holder gives
// up on the claimer.
constexpr std::chrono::seconds peerSilenceMargin { 1 };

std::uint64_t requestOf(const EdgeEvent& event)
{
    return std::visit([](const auto& any) { return any.request; }, event);
}

}

CallerRequests::CallerRequests(PeerIdentity identity, std::chrono::milliseconds backendSilence, Logger& processLogger,
    Metrics& processMetrics, BackendClient& backendClient, RequestPlacement& requestPlacement,
    EdgeEventQueue& edgeEvents, const MessageSender& messageSender, ActionHandler actionHandler)
    : self(std::move(identity))
    , peerSilenceLimit(backendSilence + peerSilenceMargin)
    , logger(processLogger)
    , metrics(processMetrics)
    , client(backendClient)
    , placement(requestPlacement)
    , events(edgeEvents)
    , sendMessage(messageSender)
    , execute(std::move(actionHandler))
{
}

void CallerRequests::setView(std::shared_ptr<const ConfigurationView> newView) { this->view = std::move(newView); }

void CallerRequests::drop(const std::string& reason) { this->metrics.drops(step, reason).Increment(); }

CallerRequest* CallerRequests::find(std::uint64_t request)
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

std::uint64_t CallerRequests::submit(
    TimePoint now, const std::string& service, const Endpoint& caller, HttpRequestHead head)
{
    const std::uint64_t identifier = this->nextRequest++;
    const bool hasBody = head.framing == BodyFraming::Chunked
        || (head.framing == BodyFraming::ContentLength && head.contentLength > 0);
    CallerRequest made { .description = {},
        .head = std::move(head),
        .arrived = now,
        .body = RequestBodyBuffer(hasBody),
        .attempt = {},
        .answer = {},
        .answerOwner = identifier };
    made.description.request = identifier;
    const RouteFault fault = describeRequest(this->view.get(), service, caller, made.head, made.description);
    made.answer = std::make_shared<AnswerStream>(made.description.route.shareable);
    made.answer->addReader(identifier);
    CallerRequest& request = this->requests.emplace(identifier, std::move(made)).first->second;
    if (fault.status != 0) {
        this->refuseHere(now, request, fault.status, RunOutcome::NotRun, fault.reason);
    } else if (request.body.isReadyToPlace()) {
        this->place(now, request);
    } else {
        this->giveBodyCredit(request);
    }
    return identifier;
}

void CallerRequests::place(TimePoint now, CallerRequest& request)
{
    request.placed = true;
    request.description.bodyRetained = request.body.isRetained();
    const std::uint64_t bodyBytes = request.head.framing == BodyFraming::ContentLength ? request.head.contentLength
        : request.body.isComplete()                                                    ? request.body.received()
                                                                                       : 0;
    request.description.fingerprint = requestFingerprint(request.head, bodyBytes);
    this->execute(now, this->placement.requestArrived(now, request.description));
}

void CallerRequests::refuse(TimePoint now, CallerRequest& request, const RefuseRequest& refusal)
{
    const std::uint64_t identifier = request.description.request;
    if (request.attempt) {
        this->stopAttempt(request, refusal.reason);
    }
    if (!request.callerDone) {
        request.callerDone = true;
        const bool started = request.answer->hasReader(identifier) && request.answer->hasHead();
        request.answer->removeReader(identifier);
        if (started) {
            this->events.push(AnswerFinish { identifier, false });
        } else {
            ErrorAnswer answer = makeErrorAnswer(refusal);
            this->logger.log(LogLevel::Debug, "request refused", step, formatEndpoint(request.description.caller),
                { { "request", identifier }, { "reason", refusal.reason }, { "status", refusal.status } });
            this->events.push(AnswerStart { identifier, std::move(answer.head) });
            if (request.head.method != "HEAD") {
                this->events.push(AnswerData { identifier, std::move(answer.body) });
            }
            this->events.push(AnswerFinish { identifier, true });
        }
    }
    const std::shared_ptr<AnswerStream> stream = request.answer;
    this->giveAnswerCredit(now, request.answerOwner, *stream);
    this->eraseIfDone(identifier);
}

void CallerRequests::refuseHere(
    TimePoint now, CallerRequest& request, unsigned status, RunOutcome outcome, const char* reason)
{
    this->metrics.refusals(step, reason).Increment();
    this->refuse(now, request, { request.description.request, status, outcome, reason, {} });
}

// Ends a request that cannot continue for a reason that placement does not know, and notifies placement if the request
// was passed to it.
void CallerRequests::abandon(
    TimePoint now, CallerRequest& request, unsigned status, RunOutcome outcome, const char* reason)
{
    const std::uint64_t identifier = request.description.request;
    const bool placed = request.placed;
    this->refuseHere(now, request, status, outcome, reason);
    if (placed) {
        this->execute(now, this->placement.callerDisconnected(now, identifier));
    }
}

void CallerRequests::eraseIfDone(std::uint64_t identifier)
{
    const CallerRequest* request = this->find(identifier);
    if (request != nullptr && request->callerDone && !request->attempt) {
        this->requests.erase(identifier);
    }
}

void CallerRequests::requestBody(TimePoint now, std::uint64_t identifier, std::string data, bool last)
{
    CallerRequest* request = this->find(identifier);
    if (request == nullptr || request->callerDone) {
        return; // refused in the meantime
    }
    if (!request->body.append(std::move(data), last)) {
        const RunOutcome outcome = request->placed ? RunOutcome::Unknown : RunOutcome::NotRun;
        this->abandon(now, *request, 500, outcome, "body_over_credit");
    } else if (request->placed) {
        this->forwardBody(now, *request);
    } else if (request->body.isReadyToPlace()) {
        this->place(now, *request);
    }
}

void CallerRequests::giveBodyCredit(CallerRequest& request)
{
    const std::size_t credit = request.body.takeCredit();
    if (credit > 0 && !request.callerDone) {
        this->events.push(BodyCredit { request.description.request, credit });
    }
}

void CallerRequests::answerConsumed(TimePoint now, std::uint64_t identifier, std::size_t bytes)
{
    CallerRequest* request = this->find(identifier);
    if (request == nullptr) {
        return; // the whole answer was passed on before
    }
    const std::shared_ptr<AnswerStream> stream = request->answer;
    stream->consumed(identifier, bytes);
    this->pumpAnswer(now, request->answerOwner, *stream);
}

void CallerRequests::cancel(TimePoint now, std::uint64_t identifier)
{
    this->events.discard(identifier);
    CallerRequest* request = this->find(identifier);
    if (request == nullptr || request->callerDone) {
        return;
    }
    request->callerDone = true;
    const std::shared_ptr<AnswerStream> stream = request->answer;
    const std::uint64_t owner = request->answerOwner;
    stream->removeReader(identifier);
    if (request->placed) {
        this->execute(now, this->placement.callerDisconnected(now, identifier));
    }
    this->pumpAnswer(now, owner, *stream);
    this->eraseIfDone(identifier);
}

void CallerRequests::beginAttempt(CallerRequest& request, RunAttempt attempt)
{
    const std::uint64_t identifier = request.description.request;
    if (request.answerOwner != identifier) {
        // Until now the request shared the run of another one.
        request.answer->removeReader(identifier);
        request.answer = std::make_shared<AnswerStream>(request.description.route.shareable);
        request.answerOwner = identifier;
        if (!request.callerDone) {
            request.answer->addReader(identifier);
        }
    }
    request.attempt = std::move(attempt);
}

void CallerRequests::forwardBody(TimePoint now, CallerRequest& request)
{
    if (!request.attempt || request.attempt->bodyEndSent) {
        return;
    }
    const bool last = request.body.isComplete();
    if (request.body.everythingSent() && !last) {
        return;
    }
    RunAttempt& attempt = *request.attempt;
    const std::uint64_t offset = request.body.sent();
    std::string data = request.body.takeForRun();
    attempt.bodyEndSent = last;
    if (attempt.backendRun) {
        this->client.sendBody(now, *attempt.backendRun, std::move(data), last);
        return;
    }
    attempt.lastHeard = now; // the claimer was waiting for the body before
    wire::PeerMessage message
        = makeRequestBody(request.description.request, attempt.claim, offset, std::move(data), last);
    if (!this->sendMessage(attempt.claimerAddress, std::move(message))) {
        this->drop("request_body_not_sent");
        this->failAnswer(now, request, "request_body_not_sent");
    }
}

void CallerRequests::pumpAnswer(TimePoint now, std::uint64_t owner, AnswerStream& stream)
{
    PlacementActions further;
    for (EdgeEvent& event : stream.takeEvents()) {
        const std::uint64_t identifier = requestOf(event);
        const bool starts = std::holds_alternative<AnswerStart>(event);
        const bool ends = std::holds_alternative<AnswerFinish>(event);
        this->events.push(std::move(event));
        if (starts) {
            PlacementActions more = this->placement.answerStarted(now, identifier);
            std::move(more.begin(), more.end(), std::back_inserter(further));
        }
        if (ends) {
            if (CallerRequest* request = this->find(identifier)) {
                request->callerDone = true;
            }
            this->eraseIfDone(identifier);
        }
    }
    this->giveAnswerCredit(now, owner, stream);
    this->execute(now, std::move(further));
}

void CallerRequests::giveAnswerCredit(TimePoint now, std::uint64_t owner, AnswerStream& stream)
{
    CallerRequest* request = this->find(owner);
    if (request == nullptr || !request->attempt || request->answer.get() != &stream) {
        return;
    }
    const bool wasBlocked = stream.isBlockedByReaders();
    const std::size_t credit = stream.takeCredit();
    if (credit == 0) {
        return;
    }
    RunAttempt& attempt = *request->attempt;
    if (attempt.backendRun) {
        this->client.addAnswerCredit(now, *attempt.backendRun, credit);
        return;
    }
    if (wasBlocked) {
        attempt.lastHeard = now; // the claimer had no credit to send before
    }
    // If the message is lost, the claimer stops sending and the time-out on its silence ends the attempt.
    if (!this->sendMessage(attempt.claimerAddress, makeAnswerCredit(owner, attempt.claim, credit))) {
        this->drop("answer_credit_not_sent");
    }
}

void CallerRequests::answerHeadArrived(
    TimePoint now, CallerRequest& request, HttpAnswerHead head, const std::string& origin)
{
    head.headers.emplace_back(originHeader, origin);
    request.answer->setHead(std::move(head));
    const std::shared_ptr<AnswerStream> stream = request.answer;
    this->pumpAnswer(now, request.description.request, *stream);
}

void CallerRequests::endAttempt(TimePoint now, CallerRequest& request, const RunResult& result)
{
    const std::uint64_t identifier = request.description.request;
    const std::uint64_t claim = request.attempt->claim;
    if (request.attempt->backendRun) {
        this->localRuns.erase(*request.attempt->backendRun);
    }
    request.attempt.reset();
    const std::shared_ptr<AnswerStream> stream = request.answer;
    if (stream->hasHead()) {
        stream->finish(result.outcome == RunOutcome::Completed);
    }
    this->pumpAnswer(now, identifier, *stream);
    this->execute(now, this->placement.runEnded(now, identifier, claim, result));
    this->eraseIfDone(identifier);
}

// Removes the attempt, and cancels its run if that is on the local backend server.
void CallerRequests::dropAttempt(CallerRequest& request)
{
    const std::optional<std::uint64_t> backendRun = request.attempt->backendRun;
    request.attempt.reset();
    if (backendRun) {
        this->localRuns.erase(*backendRun);
        this->client.cancel(*backendRun);
    }
}

// Stops the run here or at the claimer, without notifying placement.
void CallerRequests::stopAttempt(CallerRequest& request, const std::string& reason)
{
    const RunAttempt attempt = *request.attempt;
    this->dropAttempt(request);
    if (attempt.backendRun) {
        return;
    }
    const std::uint64_t identifier = request.description.request;
    if (!this->sendMessage(attempt.claimerAddress, makeCancel(identifier, attempt.claim, reason))) {
        this->drop("cancel_not_sent");
    }
}

// Returns null when the request cannot be run, after counting a drop and reporting to placement that it was not run.
CallerRequest* CallerRequests::findForAttempt(TimePoint now, std::uint64_t identifier, std::uint64_t claim)
{
    CallerRequest* request = this->find(identifier);
    if (request != nullptr && !request->attempt) {
        return request;
    }
    this->drop("run_without_request");
    this->execute(
        now, this->placement.runEnded(now, identifier, claim, { RunOutcome::NotRun, 0, "run_without_request" }));
    return nullptr;
}

void CallerRequests::applyAction(TimePoint now, const RunOwnRequest& action)
{
    CallerRequest* request = this->findForAttempt(now, action.request, action.claim);
    if (request == nullptr) {
        return;
    }
    if (!request->body.restart()) {
        this->abandon(now, *request, 503, RunOutcome::NotRun, "body_not_retained");
        return;
    }
    RunAttempt attempt;
    attempt.claim = action.claim;
    attempt.claimer = this->self;
    attempt.lastHeard = now;
    this->beginAttempt(*request, attempt);
    const std::uint64_t run
        = this->client.start(now, request->head, action.remainingDeadline, request->answer->credit());
    request->attempt->backendRun = run;
    this->localRuns.emplace(run, action.request);
    this->forwardBody(now, *request);
}

void CallerRequests::applyAction(TimePoint now, const GrantToPeer& action)
{
    CallerRequest* request = this->findForAttempt(now, action.request, action.claim);
    if (request == nullptr) {
        return;
    }
    const std::optional<Endpoint> address = peerAddressOf(this->view.get(), action.claimer);
    if (!address) {
        const RunResult result { RunOutcome::NotRun, 0, "peer_not_listed" };
        this->execute(now, this->placement.runEnded(now, action.request, action.claim, result));
        return;
    }
    if (!request->body.restart()) {
        this->abandon(now, *request, 503, RunOutcome::NotRun, "body_not_retained");
        return;
    }
    RunAttempt attempt;
    attempt.claim = action.claim;
    attempt.claimer = action.claimer;
    attempt.claimerAddress = *address;
    attempt.lastHeard = now;
    attempt.bodyEndSent = request->body.isComplete();
    this->beginAttempt(*request, attempt);
    if (!this->sendMessage(*address, makeGrant(*request, action.claim, action.remainingDeadline))) {
        this->drop("grant_not_sent");
        this->endAttempt(now, *request, { RunOutcome::NotRun, 0, "grant_not_sent" });
    }
}

void CallerRequests::applyAction(TimePoint now, const CancelRun& action)
{
    CallerRequest* request = this->find(action.request);
    if (request == nullptr || !request->attempt || request->attempt->claim != action.claim) {
        this->drop("cancel_without_run");
        return;
    }
    // For a granted run, placement itself sends the cancellation to the claimer.
    this->dropAttempt(*request);
    // The readers of an answer that has begun must not wait for the rest, which will not arrive.
    const std::shared_ptr<AnswerStream> stream = request->answer;
    if (stream->hasHead()) {
        stream->finish(false);
        this->pumpAnswer(now, action.request, *stream);
    }
    this->eraseIfDone(action.request);
}

void CallerRequests::applyAction(TimePoint now, const RefuseRequest& action)
{
    // A request whose answer was truncated has ended already.
    if (CallerRequest* request = this->find(action.request)) {
        this->refuse(now, *request, action);
    }
}

void CallerRequests::applyAction(TimePoint now, const ShareAnswer& action)
{
    CallerRequest* request = this->find(action.request);
    if (request == nullptr || request->attempt || request->callerDone) {
        this->drop("share_without_request");
        return;
    }
    CallerRequest* leader = this->find(action.leader);
    if (leader == nullptr || !leader->answer->addReader(action.request)) {
        this->abandon(now, *request, 503, RunOutcome::Unknown, "shared_answer_gone");
        return;
    }
    if (request->answer != leader->answer) {
        request->answer->removeReader(action.request);
        request->answer = leader->answer;
    }
    request->answerOwner = leader->answerOwner;
    const std::shared_ptr<AnswerStream> stream = request->answer;
    this->pumpAnswer(now, request->answerOwner, *stream);
}

void CallerRequests::handle(TimePoint now, BackendEvent event)
{
    const auto found = this->localRuns.find(std::visit([](const auto& any) { return any.run; }, event));
    if (found == this->localRuns.end()) {
        return;
    }
    if (CallerRequest* request = this->find(found->second)) {
        this->handleRunEvent(now, *request, std::move(event));
    }
}

void CallerRequests::handleRunEvent(TimePoint now, CallerRequest& request, BackendEvent event)
{
    std::visit(Overloaded {
                   [&](BackendAnswerHead& head) {
                       this->answerHeadArrived(now, request, std::move(head.head), this->self.instance);
                   },
                   [&](BackendAnswerData& data) {
                       const std::shared_ptr<AnswerStream> stream = request.answer;
                       stream->append(std::move(data.data));
                       this->pumpAnswer(now, request.description.request, *stream);
                   },
                   [&](BackendBodyWritten& written) {
                       request.body.consumed(written.bytes);
                       this->giveBodyCredit(request);
                   },
                   [&](BackendRunEnd& end) { this->endAttempt(now, request, end.result); },
               },
        event);
}

bool CallerRequests::hasAttemptAt(const PeerIdentity& peer) const
{
    return std::any_of(this->requests.begin(), this->requests.end(), [&peer](const auto& entry) {
        const auto& attempt = entry.second.attempt;
        return attempt && !attempt->backendRun && attempt->claimer == peer;
    });
}

// Returns the request whose attempt in progress is this claim, or null, after counting a drop, when there is none.
CallerRequest* CallerRequests::findGranted(
    const char* kind, const PeerIdentity& peer, std::uint64_t identifier, std::uint64_t claim)
{
    CallerRequest* request = this->find(identifier);
    const bool matches = request != nullptr && request->attempt && !request->attempt->backendRun
        && request->attempt->claimer == peer && request->attempt->claim == claim;
    if (!matches) {
        this->drop(fmt::format("{}_without_grant", kind));
        return nullptr;
    }
    return request;
}

void CallerRequests::notRunReceived(TimePoint now, const PeerIdentity& peer, std::uint64_t identifier,
    std::uint64_t claim, const wire::PeerMessage& message)
{
    CallerRequest* request = this->findGranted("not_run", peer, identifier, claim);
    if (request == nullptr) {
        return;
    }
    if (request->answer->hasHead()) {
        this->drop("not_run_after_answer");
        return;
    }
    request->attempt.reset();
    this->execute(now, this->placement.messageReceived(now, peer, message));
    this->eraseIfDone(identifier);
}

// Ends an attempt whose answer cannot be completed, and stops it at the claimer.
void CallerRequests::failAnswer(TimePoint now, CallerRequest& request, const char* reason)
{
    const RunAttempt attempt = *request.attempt;
    this->logger.log(LogLevel::Warning, "granted run lost", step, attempt.claimer.instance,
        { { "request", request.description.request }, { "claim", attempt.claim }, { "reason", reason } });
    this->stopAttempt(request, reason);
    request.attempt = attempt;
    this->endAttempt(now, request, { RunOutcome::Unknown, 0, reason });
}

void CallerRequests::answerHeadReceived(TimePoint now, const PeerIdentity& peer, const wire::AnswerHead& message)
{
    CallerRequest* request = this->findGranted("answer_head", peer, message.request(), message.claim());
    if (request == nullptr) {
        return;
    }
    request->attempt->lastHeard = now;
    if (request->answer->hasHead()) {
        this->drop("answer_head_repeated");
        return;
    }
    std::optional<HttpAnswerHead> head = readAnswerHead(message);
    if (!head) {
        this->drop("answer_head_malformed");
        this->failAnswer(now, *request, "answer_head_malformed");
        return;
    }
    this->answerHeadArrived(now, *request, std::move(*head), peer.instance);
}

void CallerRequests::answerBodyReceived(TimePoint now, const PeerIdentity& peer, const wire::AnswerBody& message)
{
    CallerRequest* request = this->findGranted("answer_body", peer, message.request(), message.claim());
    if (request == nullptr) {
        return;
    }
    request->attempt->lastHeard = now;
    const std::shared_ptr<AnswerStream> stream = request->answer;
    if (message.offset() < stream->received()) {
        this->drop("answer_body_repeated");
        return;
    }
    if (message.offset() > stream->received() || !stream->hasHead()) {
        this->drop("answer_gap");
        this->failAnswer(now, *request, "answer_gap");
        return;
    }
    stream->append(message.data());
    this->pumpAnswer(now, message.request(), *stream);
}

void CallerRequests::answerEndReceived(TimePoint now, const PeerIdentity& peer, const wire::AnswerEnd& message)
{
    CallerRequest* request = this->findGranted("answer_end", peer, message.request(), message.claim());
    if (request == nullptr) {
        return;
    }
    if (!message.complete()) {
        this->endAttempt(now, *request, { RunOutcome::Unknown, 0, message.reason() });
        return;
    }
    if (!request->answer->hasHead() || message.length() != request->answer->received()) {
        this->drop("answer_gap");
        this->endAttempt(now, *request, { RunOutcome::Unknown, 0, "answer_gap" });
        return;
    }
    this->endAttempt(now, *request, { RunOutcome::Completed, request->answer->status(), {} });
}

void CallerRequests::requestCreditReceived(TimePoint now, const PeerIdentity& peer, const wire::RequestCredit& message)
{
    CallerRequest* request = this->findGranted("request_credit", peer, message.request(), message.claim());
    if (request != nullptr) {
        request->attempt->lastHeard = now;
        request->body.consumed(message.bytes());
        this->giveBodyCredit(*request);
    }
}

void CallerRequests::endAttemptsAtRestartedPeers(TimePoint now)
{
    std::vector<std::uint64_t> affected;
    for (const auto& [identifier, request] : this->requests) {
        if (request.attempt && !request.attempt->backendRun) {
            const Host* host = this->view->hostByName(request.attempt->claimer.instance);
            if (host != nullptr && host->incarnation > request.attempt->claimer.incarnation) {
                affected.push_back(identifier);
            }
        }
    }
    for (const std::uint64_t identifier : affected) {
        CallerRequest* request = this->find(identifier);
        if (request != nullptr && request->attempt && !request->attempt->backendRun) {
            this->drop("peer_restarted");
            this->endAttempt(now, *request, { RunOutcome::Unknown, 0, "peer_restarted" });
        }
    }
}

bool CallerRequests::isPeerSilent(TimePoint now, const CallerRequest& request) const
{
    if (!request.attempt || request.attempt->backendRun || now - request.attempt->lastHeard <= this->peerSilenceLimit) {
        return false;
    }
    return !request.body.waitsForCaller() && !request.answer->isBlockedByReaders();
}

void CallerRequests::checkTimeouts(TimePoint now)
{
    std::vector<std::uint64_t> identifiers;
    identifiers.reserve(this->requests.size());
    for (const auto& [identifier, request] : this->requests) {
        identifiers.push_back(identifier);
    }
    for (const std::uint64_t identifier : identifiers) {
        CallerRequest* request = this->find(identifier);
        if (request == nullptr) {
            continue;
        }
        if (this->isPeerSilent(now, *request)) {
            this->drop("peer_silence");
            this->failAnswer(now, *request, "peer_silence");
        } else if (!request->placed && now - request->arrived > request->description.route.deadline) {
            this->refuseHere(now, *request, 408, RunOutcome::NotRun, "request_body_timeout");
        } else if (request->answerOwner != identifier && !request->answer->isFinished()
            && this->find(request->answerOwner) == nullptr) {
            this->abandon(now, *request, 502, RunOutcome::Unknown, "shared_run_lost");
        }
    }
}

}
