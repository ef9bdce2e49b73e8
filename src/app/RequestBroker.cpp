#include "app/RequestBroker.h"

#include "app/AnswerStream.h"
#include "app/CallerRequest.h"
#include "app/ErrorAnswer.h"
#include "app/GrantedRuns.h"
#include "app/Settings.h"
#include "coordination/RequestPlacement.h"
#include "messages.pb.h"
#include "protocol/HopByHopHeaders.h"
#include "protocol/PeerHead.h"
#include "state/ConfigurationView.h"
#include "support/Logger.h"
#include "support/Metrics.h"
#include "transport/BackendClient.h"
#include "transport/EventLoop.h"
#include "transport/Wakeup.h"

#include <algorithm>
#include <deque>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <sys/epoll.h>
#include <unordered_map>
#include <xxhash.h>

namespace chicoryferry {

namespace {

constexpr const char* step = "broker";
constexpr std::string_view originHeader = "Chicoryferry-Origin";
constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";
// Added to the backend server's own bound, so that the claimer reports the backend server's silence first.
constexpr std::chrono::seconds peerSilenceMargin { 1 };

std::optional<std::string> findHeader(const HttpHeaders& headers, std::string_view name)
{
    const auto found = std::find_if(
        headers.begin(), headers.end(), [name](const auto& header) { return equalsIgnoringCase(header.first, name); });
    return found == headers.end() ? std::nullopt : std::optional(found->second);
}

std::uint64_t fingerprintOf(const HttpRequestHead& head, std::uint64_t bodyBytes)
{
    const std::string text = fmt::format("{}\n{}\n{}", head.method, head.target, bodyBytes);
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t requestOf(const EdgeEvent& event)
{
    return std::visit([](const auto& any) { return any.request; }, event);
}

template <typename... Handlers> struct Overloaded : Handlers... {
    using Handlers::operator()...;
};
template <typename... Handlers> Overloaded(Handlers...) -> Overloaded<Handlers...>;

}

class RequestBroker::Implementation {
public:
    Implementation(
        const Settings&, Logger&, Metrics&, EventLoop&, EventHandler onEventHandler, MessageSender messageSender);
    ~Implementation();
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    void viewChanged(TimePoint, std::shared_ptr<const ConfigurationView>, bool historyComplete);
    std::uint64_t submit(TimePoint, const std::string& service, const Endpoint& caller, HttpRequestHead);
    void requestBody(TimePoint, std::uint64_t request, const std::string& data, bool last);
    void answerConsumed(TimePoint, std::uint64_t request, std::size_t bytes);
    void cancel(TimePoint, std::uint64_t request);
    void messageReceived(TimePoint, const wire::PeerMessage&);
    void startDraining(TimePoint);
    void tick(TimePoint);
    TimePoint nextTimeout() const;
    std::size_t requestsInFlight() const { return this->requests.size() + this->grantedRuns.size(); }

private:
    // Requests of callers.
    void describe(CallerRequest&, const std::string& service, const Endpoint& caller);
    std::optional<RefuseRequest> findRoute(CallerRequest&);
    void place(TimePoint, CallerRequest&);
    void refuse(TimePoint, CallerRequest&, const RefuseRequest&);
    void refuseHere(TimePoint, CallerRequest&, unsigned status, RunOutcome, const char* reason);
    void abandon(TimePoint, CallerRequest&, unsigned status, RunOutcome, const char* reason);
    void eraseIfOver(std::uint64_t request);
    CallerRequest* find(std::uint64_t request);

    // Attempts.
    CallerRequest* findForAttempt(TimePoint, std::uint64_t request, std::uint64_t claim);
    void beginAttempt(CallerRequest&, RunAttempt);
    void forwardBody(TimePoint, CallerRequest&);
    void giveBodyCredit(CallerRequest&);
    void pumpAnswer(TimePoint, std::uint64_t owner, AnswerStream&);
    void giveAnswerCredit(TimePoint, std::uint64_t owner, AnswerStream&);
    void endAttempt(TimePoint, CallerRequest&, const RunResult&);
    void dropAttempt(CallerRequest&);
    void stopAttempt(CallerRequest&, const std::string& reason);
    void answerHeadArrived(TimePoint, CallerRequest&, HttpAnswerHead, const std::string& origin);

    // Placement.
    void execute(TimePoint, PlacementActions);
    void carryOut(TimePoint, const SendToPeer&);
    void carryOut(TimePoint, const RunOwnRequest&);
    void carryOut(TimePoint, const GrantToPeer&);
    void carryOut(TimePoint, const RunPeerRequest&);
    void carryOut(TimePoint, const CancelRun&);
    void carryOut(TimePoint, const RefuseRequest&);
    void carryOut(TimePoint, const ShareAnswer&);
    std::optional<Endpoint> addressOf(const PeerIdentity&) const;

    // Backend server.
    void backendEvent(TimePoint, BackendEvent);
    void ownRunEvent(TimePoint, CallerRequest&, BackendEvent);
    void reportGrantedRunEnd(TimePoint, const std::optional<GrantedRunEnd>&);

    // Messages.
    bool admitSender(const PeerIdentity&, Endpoint& address);
    bool hasAttemptAt(const PeerIdentity&) const;
    CallerRequest* findGranted(const char* kind, const PeerIdentity&, std::uint64_t request, std::uint64_t claim);
    void dispatch(TimePoint, const PeerIdentity&, const Endpoint& address, const wire::PeerMessage&);
    void grantMessage(TimePoint, const PeerIdentity&, const Endpoint& address, const wire::PeerMessage&);
    void notRunMessage(
        TimePoint, const PeerIdentity&, std::uint64_t request, std::uint64_t claim, const wire::PeerMessage&);
    void answerHeadMessage(TimePoint, const PeerIdentity&, const wire::AnswerHead&);
    void answerBodyMessage(TimePoint, const PeerIdentity&, const wire::AnswerBody&);
    void answerEndMessage(TimePoint, const PeerIdentity&, const wire::AnswerEnd&);
    void requestCreditMessage(TimePoint, const PeerIdentity&, const wire::RequestCredit&);
    void failAnswer(TimePoint, CallerRequest&, const char* reason);

    // Time.
    void checkRequests(TimePoint);
    bool isPeerSilent(TimePoint, const CallerRequest&) const;
    void endAttemptsAtRestartedPeers(TimePoint);

    // Events.
    void emit(EdgeEvent event) { this->events.push_back(std::move(event)); }
    void flush();
    void scheduleFlush();
    void drop(const std::string& reason) { this->metrics.drops(step, reason).Increment(); }

    PeerIdentity self;
    std::chrono::milliseconds peerSilence;
    Logger& logger;
    Metrics& metrics;
    EventLoop& eventLoop;
    EventHandler onEvent;
    MessageSender sendMessage;
    Wakeup wakeup;
    RequestPlacement placement;
    BackendClient client;
    GrantedRuns grantedRuns;
    std::shared_ptr<const ConfigurationView> view;
    std::uint64_t nextRequest { 1 };
    std::unordered_map<std::uint64_t, CallerRequest> requests;
    std::unordered_map<std::uint64_t, std::uint64_t> ownRuns; // request by backend run
    std::deque<PlacementAction> actions;
    bool executing { false };
    std::deque<EdgeEvent> events;
    bool flushing { false };
};

RequestBroker::Implementation::Implementation(const Settings& settings, Logger& processLogger, Metrics& processMetrics,
    EventLoop& loop, EventHandler onEventHandler, MessageSender messageSender)
    : self { settings.instance, settings.incarnation }
    , peerSilence(settings.backendSilence + peerSilenceMargin)
    , logger(processLogger)
    , metrics(processMetrics)
    , eventLoop(loop)
    , onEvent(std::move(onEventHandler))
    , sendMessage(std::move(messageSender))
    , placement(self, processMetrics)
    , client(loop, settings.backendServer, settings.backendSilence,
          [this](TimePoint now, BackendEvent event) { this->backendEvent(now, std::move(event)); })
    , grantedRuns(client, processMetrics, sendMessage)
{
    this->eventLoop.add(this->wakeup.descriptor(), EPOLLIN, [this](std::uint32_t) {
        this->wakeup.clear();
        this->flush();
    });
}

RequestBroker::Implementation::~Implementation() { this->eventLoop.remove(this->wakeup.descriptor()); }

// Requests of callers.

CallerRequest* RequestBroker::Implementation::find(std::uint64_t request)
{
    const auto found = this->requests.find(request);
    return found == this->requests.end() ? nullptr : &found->second;
}

void RequestBroker::Implementation::describe(CallerRequest& request, const std::string& service, const Endpoint& caller)
{
    RequestDescription& description = request.description;
    description.service = service;
    description.caller = caller;
    description.method = request.head.method;
    description.target = request.head.target;
    description.idempotencyKey = findHeader(request.head.headers, idempotencyKeyHeader);
}

// Fills in route and caller group; returns the refusal when there is none.
std::optional<RefuseRequest> RequestBroker::Implementation::findRoute(CallerRequest& request)
{
    RequestDescription& description = request.description;
    const auto refusal = [&](unsigned status, const char* reason) {
        return RefuseRequest { description.request, status, RunOutcome::NotRun, reason, {} };
    };
    if (!this->view) {
        return refusal(503, "no_configuration");
    }
    const Service* service = this->view->serviceByName(description.service);
    if (service == nullptr) {
        return refusal(503, "no_service");
    }
    const CallerGroup* group = this->view->callerGroupOf(description.caller.address);
    if (group == nullptr) {
        return refusal(403, "no_group");
    }
    description.callerGroup = group->name;
    description.route = service->routeFor(description.method, description.target);
    return std::nullopt;
}

std::uint64_t RequestBroker::Implementation::submit(
    TimePoint now, const std::string& service, const Endpoint& caller, HttpRequestHead head)
{
    const std::uint64_t identifier = this->nextRequest++;
    const bool hasBody = head.framing == BodyFraming::Chunked
        || (head.framing == BodyFraming::ContentLength && head.contentLength > 0);
    CallerRequest& request = this->requests
                                 .emplace(identifier,
                                     CallerRequest { .description = {},
                                         .head = std::move(head),
                                         .arrived = now,
                                         .body = RequestBodyBuffer(hasBody),
                                         .attempt = {},
                                         .answer = {},
                                         .answerOwner = identifier })
                                 .first->second;
    request.description.request = identifier;
    this->describe(request, service, caller);
    const std::optional<RefuseRequest> refusal = this->findRoute(request);
    request.answer = std::make_shared<AnswerStream>(request.description.route.shareable);
    request.answer->addReader(identifier);
    if (refusal) {
        this->metrics.refusals(step, refusal->reason).Increment();
        this->refuse(now, request, *refusal);
    } else if (request.body.isReadyToPlace()) {
        this->place(now, request);
    } else {
        this->giveBodyCredit(request);
    }
    this->scheduleFlush();
    return identifier;
}

void RequestBroker::Implementation::place(TimePoint now, CallerRequest& request)
{
    request.placed = true;
    request.description.bodyRetained = request.body.isRetained();
    const std::uint64_t bodyBytes = request.head.framing == BodyFraming::ContentLength ? request.head.contentLength
        : request.body.isComplete()                                                    ? request.body.received()
                                                                                       : 0;
    request.description.fingerprint = fingerprintOf(request.head, bodyBytes);
    this->execute(now, this->placement.requestArrived(now, request.description));
}

void RequestBroker::Implementation::refuse(TimePoint now, CallerRequest& request, const RefuseRequest& refusal)
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
            this->emit(AnswerFinish { identifier, false });
        } else {
            ErrorAnswer answer = makeErrorAnswer(refusal);
            this->emit(AnswerStart { identifier, std::move(answer.head) });
            if (request.head.method != "HEAD") {
                this->emit(AnswerData { identifier, std::move(answer.body) });
            }
            this->emit(AnswerFinish { identifier, true });
        }
    }
    const std::shared_ptr<AnswerStream> stream = request.answer;
    this->giveAnswerCredit(now, request.answerOwner, *stream);
    this->eraseIfOver(identifier);
}

void RequestBroker::Implementation::refuseHere(
    TimePoint now, CallerRequest& request, unsigned status, RunOutcome outcome, const char* reason)
{
    this->metrics.refusals(step, reason).Increment();
    this->refuse(now, request, { request.description.request, status, outcome, reason, {} });
}

// Ends a request that cannot go on for a reason that placement does not know.
void RequestBroker::Implementation::abandon(
    TimePoint now, CallerRequest& request, unsigned status, RunOutcome outcome, const char* reason)
{
    const std::uint64_t identifier = request.description.request;
    const bool placed = request.placed;
    this->refuseHere(now, request, status, outcome, reason);
    if (placed) {
        this->execute(now, this->placement.callerGone(now, identifier));
    }
}

void RequestBroker::Implementation::eraseIfOver(std::uint64_t identifier)
{
    const CallerRequest* request = this->find(identifier);
    if (request != nullptr && request->callerDone && !request->attempt) {
        this->requests.erase(identifier);
    }
}

void RequestBroker::Implementation::requestBody(
    TimePoint now, std::uint64_t identifier, const std::string& data, bool last)
{
    CallerRequest* request = this->find(identifier);
    if (request == nullptr || request->callerDone) {
        return; // refused meanwhile
    }
    if (!request->body.append(data, last)) {
        const RunOutcome outcome = request->placed ? RunOutcome::Unknown : RunOutcome::NotRun;
        this->abandon(now, *request, 500, outcome, "body_over_credit");
    } else if (request->placed) {
        this->forwardBody(now, *request);
    } else if (request->body.isReadyToPlace()) {
        this->place(now, *request);
    }
    this->scheduleFlush();
}

void RequestBroker::Implementation::giveBodyCredit(CallerRequest& request)
{
    const std::size_t credit = request.body.takeCredit();
    if (credit > 0 && !request.callerDone) {
        this->emit(BodyCredit { request.description.request, credit });
    }
}

void RequestBroker::Implementation::answerConsumed(TimePoint now, std::uint64_t identifier, std::size_t bytes)
{
    CallerRequest* request = this->find(identifier);
    if (request == nullptr) {
        return; // the whole answer was handed over before
    }
    const std::shared_ptr<AnswerStream> stream = request->answer;
    stream->consumed(identifier, bytes);
    this->pumpAnswer(now, request->answerOwner, *stream);
    this->scheduleFlush();
}

void RequestBroker::Implementation::cancel(TimePoint now, std::uint64_t identifier)
{
    std::erase_if(this->events, [identifier](const EdgeEvent& event) { return requestOf(event) == identifier; });
    CallerRequest* request = this->find(identifier);
    if (request == nullptr || request->callerDone) {
        return;
    }
    request->callerDone = true;
    const std::shared_ptr<AnswerStream> stream = request->answer;
    const std::uint64_t owner = request->answerOwner;
    stream->removeReader(identifier);
    if (request->placed) {
        this->execute(now, this->placement.callerGone(now, identifier));
    }
    this->pumpAnswer(now, owner, *stream);
    this->eraseIfOver(identifier);
    this->scheduleFlush();
}

// Attempts.

void RequestBroker::Implementation::beginAttempt(CallerRequest& request, RunAttempt attempt)
{
    const std::uint64_t identifier = request.description.request;
    if (request.answerOwner != identifier) {
        // It shared another request's run so far.
        request.answer->removeReader(identifier);
        request.answer = std::make_shared<AnswerStream>(request.description.route.shareable);
        request.answerOwner = identifier;
        if (!request.callerDone) {
            request.answer->addReader(identifier);
        }
    }
    request.attempt = std::move(attempt);
}

void RequestBroker::Implementation::forwardBody(TimePoint now, CallerRequest& request)
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
    attempt.lastHeard = now; // the claimer had nothing to do before
    wire::PeerMessage message;
    wire::RequestBody& body = *message.mutable_request_body();
    body.set_request(request.description.request);
    body.set_claim(attempt.claim);
    body.set_offset(offset);
    body.set_data(std::move(data));
    body.set_last(last);
    if (!this->sendMessage(attempt.claimerAddress, std::move(message))) {
        this->drop("request_body_not_sent");
        this->failAnswer(now, request, "request_body_not_sent");
    }
}

void RequestBroker::Implementation::pumpAnswer(TimePoint now, std::uint64_t owner, AnswerStream& stream)
{
    PlacementActions further;
    for (EdgeEvent& event : stream.takeEvents()) {
        const std::uint64_t identifier = requestOf(event);
        const bool starts = std::holds_alternative<AnswerStart>(event);
        const bool ends = std::holds_alternative<AnswerFinish>(event);
        this->emit(std::move(event));
        if (starts) {
            PlacementActions more = this->placement.answerStarted(now, identifier);
            std::move(more.begin(), more.end(), std::back_inserter(further));
        }
        if (ends) {
            if (CallerRequest* request = this->find(identifier)) {
                request->callerDone = true;
            }
            this->eraseIfOver(identifier);
        }
    }
    this->giveAnswerCredit(now, owner, stream);
    this->execute(now, std::move(further));
}

void RequestBroker::Implementation::giveAnswerCredit(TimePoint now, std::uint64_t owner, AnswerStream& stream)
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
        attempt.lastHeard = now; // the claimer was not allowed to send before
    }
    wire::PeerMessage message;
    wire::AnswerCredit& body = *message.mutable_answer_credit();
    body.set_request(owner);
    body.set_claim(attempt.claim);
    body.set_bytes(credit);
    // When it is lost, the claimer falls silent and the bound on silence ends the attempt.
    if (!this->sendMessage(attempt.claimerAddress, std::move(message))) {
        this->drop("answer_credit_not_sent");
    }
}

void RequestBroker::Implementation::answerHeadArrived(
    TimePoint now, CallerRequest& request, HttpAnswerHead head, const std::string& origin)
{
    head.headers.emplace_back(originHeader, origin);
    request.answer->setHead(std::move(head));
    const std::shared_ptr<AnswerStream> stream = request.answer;
    this->pumpAnswer(now, request.description.request, *stream);
}

void RequestBroker::Implementation::endAttempt(TimePoint now, CallerRequest& request, const RunResult& result)
{
    const std::uint64_t identifier = request.description.request;
    const std::uint64_t claim = request.attempt->claim;
    if (request.attempt->backendRun) {
        this->ownRuns.erase(*request.attempt->backendRun);
    }
    request.attempt.reset();
    const std::shared_ptr<AnswerStream> stream = request.answer;
    if (stream->hasHead()) {
        stream->finish(result.outcome == RunOutcome::Completed);
    }
    this->pumpAnswer(now, identifier, *stream);
    this->execute(now, this->placement.runEnded(now, identifier, claim, result));
    this->eraseIfOver(identifier);
}

// Forgets the attempt and closes an own run.
void RequestBroker::Implementation::dropAttempt(CallerRequest& request)
{
    const std::optional<std::uint64_t> backendRun = request.attempt->backendRun;
    request.attempt.reset();
    if (backendRun) {
        this->ownRuns.erase(*backendRun);
        this->client.cancel(*backendRun);
    }
}

// Stops the run here or at the claimer, without telling placement.
void RequestBroker::Implementation::stopAttempt(CallerRequest& request, const std::string& reason)
{
    const RunAttempt attempt = *request.attempt;
    this->dropAttempt(request);
    if (attempt.backendRun) {
        return;
    }
    wire::PeerMessage message;
    wire::Cancel& body = *message.mutable_cancel();
    body.set_request(request.description.request);
    body.set_claim(attempt.claim);
    body.set_reason(reason);
    if (!this->sendMessage(attempt.claimerAddress, std::move(message))) {
        this->drop("cancel_not_sent");
    }
}

// Placement.

void RequestBroker::Implementation::execute(TimePoint now, PlacementActions further)
{
    std::move(further.begin(), further.end(), std::back_inserter(this->actions));
    if (this->executing) {
        return; // the outer call carries them out, in order
    }
    this->executing = true;
    while (!this->actions.empty()) {
        const PlacementAction action = std::move(this->actions.front());
        this->actions.pop_front();
        std::visit([&](const auto& any) { this->carryOut(now, any); }, action);
    }
    this->executing = false;
}

std::optional<Endpoint> RequestBroker::Implementation::addressOf(const PeerIdentity& peer) const
{
    const Host* host = this->view ? this->view->hostByName(peer.instance) : nullptr;
    if (host == nullptr || host->incarnation != peer.incarnation) {
        return std::nullopt;
    }
    return host->peerAddress;
}

void RequestBroker::Implementation::carryOut(TimePoint, const SendToPeer& action)
{
    const std::optional<Endpoint> address = this->addressOf(action.peer);
    if (!address) {
        this->drop("peer_not_listed");
    } else if (!this->sendMessage(*address, action.message)) {
        this->drop("message_not_sent");
    }
}

// Null, after counting a drop and telling placement that nothing was run, when the request cannot be run.
CallerRequest* RequestBroker::Implementation::findForAttempt(
    TimePoint now, std::uint64_t identifier, std::uint64_t claim)
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

void RequestBroker::Implementation::carryOut(TimePoint now, const RunOwnRequest& action)
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
    this->ownRuns.emplace(run, action.request);
    this->forwardBody(now, *request);
}

void RequestBroker::Implementation::carryOut(TimePoint now, const GrantToPeer& action)
{
    CallerRequest* request = this->findForAttempt(now, action.request, action.claim);
    if (request == nullptr) {
        return;
    }
    const std::optional<Endpoint> address = this->addressOf(action.claimer);
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
    wire::PeerMessage message;
    wire::Grant& grant = *message.mutable_grant();
    grant.set_request(action.request);
    grant.set_claim(action.claim);
    grant.set_service(request->description.service);
    grant.set_remaining_deadline_us(
        static_cast<std::uint64_t>(std::max<std::int64_t>(action.remainingDeadline.count(), 0)) * 1000);
    grant.set_answer_credit(request->answer->credit());
    grant.set_body(request->body.takeForRun());
    grant.set_body_complete(request->body.isComplete());
    writeRequestHead(request->head, *grant.mutable_head());
    grant.mutable_head()->set_caller(formatEndpoint(request->description.caller));
    if (!this->sendMessage(*address, std::move(message))) {
        this->drop("grant_not_sent");
        this->endAttempt(now, *request, { RunOutcome::NotRun, 0, "grant_not_sent" });
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

void RequestBroker::Implementation::carryOut(TimePoint now, const CancelRun& action)
{
    if (action.holder != this->self) {
        if (!this->grantedRuns.cancel({ action.holder, action.request, action.claim })) {
            this->drop("cancel_without_run");
        }
        return;
    }
    CallerRequest* request = this->find(action.request);
    if (request == nullptr || !request->attempt || request->attempt->claim != action.claim) {
        this->drop("cancel_without_run");
        return;
    }
    // Placement sends the message to a claimer itself.
    this->dropAttempt(*request);
    // Readers of an answer that has begun must not wait for its rest.
    const std::shared_ptr<AnswerStream> stream = request->answer;
    if (stream->hasHead()) {
        stream->finish(false);
        this->pumpAnswer(now, action.request, *stream);
    }
    this->eraseIfOver(action.request);
}

void RequestBroker::Implementation::carryOut(TimePoint now, const RefuseRequest& action)
{
    // A request whose answer was truncated has ended already.
    if (CallerRequest* request = this->find(action.request)) {
        this->refuse(now, *request, action);
    }
}

void RequestBroker::Implementation::carryOut(TimePoint now, const ShareAnswer& action)
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

// Backend server.

void RequestBroker::Implementation::backendEvent(TimePoint now, BackendEvent event)
{
    const std::uint64_t run = std::visit([](const auto& any) { return any.run; }, event);
    if (this->grantedRuns.ownsRun(run)) {
        this->reportGrantedRunEnd(now, this->grantedRuns.handle(now, std::move(event)));
    } else if (const auto found = this->ownRuns.find(run); found != this->ownRuns.end()) {
        if (CallerRequest* request = this->find(found->second)) {
            this->ownRunEvent(now, *request, std::move(event));
        }
    }
    this->flush();
}

void RequestBroker::Implementation::reportGrantedRunEnd(TimePoint now, const std::optional<GrantedRunEnd>& ended)
{
    if (ended) {
        this->execute(now,
            this->placement.peerRunEnded(now, ended->key.holder, ended->key.request, ended->key.claim, ended->result));
    }
}

void RequestBroker::Implementation::ownRunEvent(TimePoint now, CallerRequest& request, BackendEvent event)
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
                   [&](BackendBodyTaken& taken) {
                       request.body.taken(taken.bytes);
                       this->giveBodyCredit(request);
                   },
                   [&](BackendRunEnd& end) { this->endAttempt(now, request, end.result); },
               },
        event);
}

// Messages.

bool RequestBroker::Implementation::hasAttemptAt(const PeerIdentity& peer) const
{
    return std::any_of(this->requests.begin(), this->requests.end(), [&peer](const auto& entry) {
        const auto& attempt = entry.second.attempt;
        return attempt && !attempt->backendRun && attempt->claimer == peer;
    });
}

// True when messages of the sender count; address is then its peer address, or left unset when the view does not list
// it. A peer that the view does not list any more may finish what is under way.
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
    if (this->hasAttemptAt(peer) || this->grantedRuns.hasRunFor(peer)) {
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
    this->flush();
}

void RequestBroker::Implementation::dispatch(
    TimePoint now, const PeerIdentity& peer, const Endpoint& address, const wire::PeerMessage& message)
{
    switch (message.body_case()) {
    case wire::PeerMessage::kGrant:
        this->grantMessage(now, peer, address, message);
        break;
    case wire::PeerMessage::kGrantExpired:
        this->notRunMessage(now, peer, message.grant_expired().request(), message.grant_expired().claim(), message);
        break;
    case wire::PeerMessage::kNotRun:
        this->notRunMessage(now, peer, message.not_run().request(), message.not_run().claim(), message);
        break;
    case wire::PeerMessage::kAnswerHead:
        this->answerHeadMessage(now, peer, message.answer_head());
        break;
    case wire::PeerMessage::kAnswerBody:
        this->answerBodyMessage(now, peer, message.answer_body());
        break;
    case wire::PeerMessage::kAnswerEnd:
        this->answerEndMessage(now, peer, message.answer_end());
        break;
    case wire::PeerMessage::kRequestCredit:
        this->requestCreditMessage(now, peer, message.request_credit());
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
        // A peer that the view does not list may only end what is under way.
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
    } else if (this->grantedRuns.keepGrant(now, peer, address, message.grant())) {
        this->execute(now, this->placement.messageReceived(now, peer, message));
        this->grantedRuns.dropKeptGrant();
    }
}

// The request whose attempt in progress is this claim; null, after counting a drop, when there is none.
CallerRequest* RequestBroker::Implementation::findGranted(
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

void RequestBroker::Implementation::notRunMessage(TimePoint now, const PeerIdentity& peer, std::uint64_t identifier,
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
    this->eraseIfOver(identifier);
}

// Ends an attempt whose answer cannot be completed, and stops it at the claimer.
void RequestBroker::Implementation::failAnswer(TimePoint now, CallerRequest& request, const char* reason)
{
    const RunAttempt attempt = *request.attempt;
    this->stopAttempt(request, reason);
    request.attempt = attempt;
    this->endAttempt(now, request, { RunOutcome::Unknown, 0, reason });
}

void RequestBroker::Implementation::answerHeadMessage(
    TimePoint now, const PeerIdentity& peer, const wire::AnswerHead& message)
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

void RequestBroker::Implementation::answerBodyMessage(
    TimePoint now, const PeerIdentity& peer, const wire::AnswerBody& message)
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

void RequestBroker::Implementation::answerEndMessage(
    TimePoint now, const PeerIdentity& peer, const wire::AnswerEnd& message)
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

void RequestBroker::Implementation::requestCreditMessage(
    TimePoint now, const PeerIdentity& peer, const wire::RequestCredit& message)
{
    CallerRequest* request = this->findGranted("request_credit", peer, message.request(), message.claim());
    if (request != nullptr) {
        request->attempt->lastHeard = now;
        request->body.taken(message.bytes());
        this->giveBodyCredit(*request);
    }
}

// Time.

void RequestBroker::Implementation::viewChanged(
    TimePoint now, std::shared_ptr<const ConfigurationView> newView, bool historyComplete)
{
    this->view = std::move(newView);
    this->execute(now, this->placement.viewChanged(now, this->view, historyComplete));
    if (this->view) {
        this->endAttemptsAtRestartedPeers(now);
        for (const GrantedRunEnd& ended : this->grantedRuns.endAbandonedRuns(now, *this->view)) {
            this->reportGrantedRunEnd(now, ended);
        }
    }
    this->scheduleFlush();
}

void RequestBroker::Implementation::endAttemptsAtRestartedPeers(TimePoint now)
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

void RequestBroker::Implementation::startDraining(TimePoint now)
{
    this->execute(now, this->placement.startDraining(now));
    this->scheduleFlush();
}

bool RequestBroker::Implementation::isPeerSilent(TimePoint now, const CallerRequest& request) const
{
    if (!request.attempt || request.attempt->backendRun || now - request.attempt->lastHeard <= this->peerSilence) {
        return false;
    }
    return !request.body.waitsForCaller() && !request.answer->isBlockedByReaders();
}

void RequestBroker::Implementation::checkRequests(TimePoint now)
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

void RequestBroker::Implementation::tick(TimePoint now)
{
    this->client.tick(now);
    this->checkRequests(now);
    if (this->view) {
        for (const GrantedRunEnd& ended : this->grantedRuns.endAbandonedRuns(now, *this->view)) {
            this->reportGrantedRunEnd(now, ended);
        }
    }
    this->execute(now, this->placement.tick(now));
    this->flush();
}

RequestBroker::TimePoint RequestBroker::Implementation::nextTimeout() const
{
    return this->events.empty() ? this->placement.nextTimeout() : TimePoint::min();
}

// Events.

void RequestBroker::Implementation::flush()
{
    if (this->flushing) {
        return; // an event handler caused this; the outer call goes on
    }
    this->flushing = true;
    while (!this->events.empty()) {
        EdgeEvent event = std::move(this->events.front());
        this->events.pop_front();
        this->onEvent(std::move(event));
    }
    this->flushing = false;
}

// Leaves the events to the event loop, because the edge must not be called back from inside its own call.
void RequestBroker::Implementation::scheduleFlush()
{
    if (!this->events.empty() && !this->flushing) {
        this->wakeup.notify();
    }
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
    return this->implementation->submit(now, service, caller, std::move(head));
}

void RequestBroker::requestBody(TimePoint now, std::uint64_t request, std::string data, bool last)
{
    this->implementation->requestBody(now, request, data, last);
}

void RequestBroker::answerConsumed(TimePoint now, std::uint64_t request, std::size_t bytes)
{
    this->implementation->answerConsumed(now, request, bytes);
}

void RequestBroker::cancel(TimePoint now, std::uint64_t request) { this->implementation->cancel(now, request); }

void RequestBroker::messageReceived(TimePoint now, const wire::PeerMessage& message)
{
    this->implementation->messageReceived(now, message);
}

void RequestBroker::startDraining(TimePoint now) { this->implementation->startDraining(now); }

void RequestBroker::tick(TimePoint now) { this->implementation->tick(now); }

RequestBroker::TimePoint RequestBroker::nextTimeout() const { return this->implementation->nextTimeout(); }

std::size_t RequestBroker::requestsInFlight() const { return this->implementation->requestsInFlight(); }

}
