#include "app/HttpEdge.h"

#include "app/ErrorAnswer.h"
#include "coordination/PlacementAction.h"
#include "support/Metrics.h"
#include "transport/TcpStack.h"

#include <algorithm>
#include <utility>

namespace chicoryferry {

namespace {

constexpr const char* step = "http edge";

// Maximum time from the first byte of a request head to its end.
constexpr std::chrono::milliseconds headTimeout = std::chrono::seconds(30);

// Maximum time without progress: without a byte of a body for which the caller has credit, or without an
// acknowledgement of the answer. Together with the delay until tick() detects it, it stays below 40 s, on which the
// holderSilenceLimit of GrantedRuns relies.
constexpr std::chrono::milliseconds progressTimeout = std::chrono::seconds(35);

// How long a connection that completes its handshake during a drain may stay open without a request.
constexpr std::chrono::milliseconds drainGrace = std::chrono::seconds(5);

constexpr unsigned requestTimeout = 408;

}

HttpEdge::HttpEdge(TcpStack& tcpStack, Metrics& processMetrics, BrokerCallbacks requestBroker)
    : stack(tcpStack)
    , metrics(processMetrics)
    , broker(std::move(requestBroker))
{
}

void HttpEdge::process(TimePoint now, const std::function<void()>& function)
{
    if (this->processing) {
        function();
        return;
    }
    this->processing = true;
    function();
    while (!this->queuedEvents.empty()) {
        const EdgeEvent event = std::move(this->queuedEvents.front());
        this->queuedEvents.pop_front();
        std::visit([&](const auto& each) { this->handle(now, each); }, event);
    }
    for (const std::uint64_t identifier : this->endedConnections) {
        this->connections.erase(identifier);
    }
    this->endedConnections.clear();
    this->processing = false;
}

EdgeConnection* HttpEdge::find(std::uint64_t identifier)
{
    const auto found = this->connections.find(identifier);
    return found == this->connections.end() || found->second->ended ? nullptr : found->second.get();
}

EdgeConnection* HttpEdge::findByRequest(std::uint64_t request)
{
    const auto found = this->connectionByRequest.find(request);
    return found == this->connectionByRequest.end() ? nullptr : this->find(found->second);
}

void HttpEdge::opened(TimePoint now, std::uint64_t identifier, const std::string& service, const Endpoint& caller)
{
    auto connection = std::make_unique<EdgeConnection>();
    connection->identifier = identifier;
    connection->service = service;
    connection->caller = caller;
    connection->idleSince = now;
    connection->lastOutputProgress = now;
    EdgeConnection& opened = *(this->connections[identifier] = std::move(connection));
    this->process(now, [&] { this->pump(now, opened); });
}

void HttpEdge::connectionEvent(TimePoint now, const TcpEvent& event)
{
    const std::uint64_t identifier = std::visit([](const auto& each) { return each.connection; }, event);
    EdgeConnection* connection = this->find(identifier);
    if (connection == nullptr) {
        return;
    }
    this->process(now, [&] {
        if (std::holds_alternative<TcpReadable>(event)) {
            this->pump(now, *connection);
        } else if (std::holds_alternative<TcpWritable>(event)) {
            connection->lastOutputProgress = now;
            this->flush(now, *connection);
        } else if (std::holds_alternative<TcpPeerClosed>(event)) {
            this->callerClosed(now, *connection);
        } else if (std::holds_alternative<TcpEnded>(event)) {
            if (connection->request != 0 && !connection->answerFinished) {
                this->metrics.drops(step, "caller_gone").Increment();
            }
            this->cancelRequest(now, *connection);
            this->end(*connection);
        }
    });
}

void HttpEdge::brokerEvent(TimePoint now, EdgeEvent event)
{
    this->queuedEvents.push_back(std::move(event));
    this->process(now, [] {});
}

// Reads as far as the request in progress, the body credit and the received bytes allow.
void HttpEdge::pump(TimePoint now, EdgeConnection& connection)
{
    bool progress = true;
    while (progress && !connection.ended && !connection.answerFinished) {
        progress = connection.request == 0 ? this->readHead(now, connection) : this->readBody(now, connection);
    }
}

bool HttpEdge::readHead(TimePoint now, EdgeConnection& connection)
{
    const std::string_view data = this->stack.readable(connection.identifier);
    if (data.empty() || this->awaitsHandover(connection)) {
        return false;
    }
    if (connection.parser.isIdle()) {
        connection.lastInput = now;
    }
    this->stack.consume(connection.identifier, connection.parser.feed(data));
    switch (connection.parser.state()) {
    case HttpRequestParser::State::Head:
        return true;
    case HttpRequestParser::State::Failed:
        this->refuse(now, connection, connection.parser.fault(), false);
        return false;
    default:
        this->submit(now, connection);
        return true;
    }
}

void HttpEdge::submit(TimePoint now, EdgeConnection& connection)
{
    const HttpRequestHead& head = connection.parser.head().head;
    connection.bodyCredit = 0;
    connection.bodyFinished = head.framing == BodyFraming::None;
    connection.continueSent = false;
    connection.answerStarted = false;
    connection.answerFinished = false;
    connection.lastInput = now;
    this->metrics.events("request_received").Increment();
    connection.request = this->broker.submit(now, connection.service, connection.caller, head);
    this->connectionByRequest[connection.request] = connection.identifier;
}

bool HttpEdge::readBody(TimePoint now, EdgeConnection& connection)
{
    bool progress = false;
    if (connection.parser.state() == HttpRequestParser::State::Body) {
        const std::size_t taken = connection.parser.feed(this->stack.readable(connection.identifier));
        this->stack.consume(connection.identifier, taken);
        if (taken > 0) {
            connection.lastInput = now;
            progress = true;
        }
        if (connection.parser.state() == HttpRequestParser::State::Failed) {
            this->refuse(now, connection, connection.parser.fault(), true);
            return false;
        }
    }
    this->forwardBody(now, connection);
    return progress;
}

void HttpEdge::forwardBody(TimePoint now, EdgeConnection& connection)
{
    const std::size_t count = std::min(connection.bodyCredit, connection.parser.pendingBody());
    const bool received = connection.parser.state() == HttpRequestParser::State::Complete;
    const bool last = received && count == connection.parser.pendingBody();
    if (connection.bodyFinished || (count == 0 && !last)) {
        return;
    }
    connection.bodyCredit -= count;
    connection.bodyFinished = last;
    this->broker.requestBody(now, connection.request, connection.parser.takeBody(count), last);
}

// submitted: the request was passed to the broker and may already be running.
void HttpEdge::refuse(TimePoint now, EdgeConnection& connection, const HttpFault& fault, bool submitted)
{
    this->metrics.refusals(step, fault.reason).Increment();
    if (connection.answerStarted) {
        this->reset(now, connection, "answer_truncated");
        return;
    }
    this->cancelRequest(now, connection);
    const RunOutcome outcome = submitted ? RunOutcome::Unknown : RunOutcome::NotRun;
    const ErrorAnswer answer = makeErrorAnswer({ 0, fault.status, outcome, fault.reason, {} });
    connection.framing = chooseAnswerFraming(answer.head, "", false);
    connection.closeAfterAnswer = true;
    connection.answerStarted = true;
    connection.answerFinished = true;
    this->write(now, connection, formatAnswerHead(answer.head, connection.framing, false, false) + answer.body, 0);
    this->flush(now, connection);
}

void HttpEdge::handle(TimePoint now, const BodyCredit& event)
{
    EdgeConnection* connection = this->findByRequest(event.request);
    if (connection == nullptr) {
        return;
    }
    connection->bodyCredit += event.bytes;
    connection->lastInput = now;
    const bool nothingSent = connection->parser.state() == HttpRequestParser::State::Body
        && connection->parser.pendingBody() == 0 && this->stack.readable(connection->identifier).empty();
    if (connection->parser.head().expectsContinue && !connection->continueSent && !connection->answerStarted
        && nothingSent) {
        connection->continueSent = true;
        this->write(now, *connection, "HTTP/1.1 100 Continue\r\n\r\n", 0);
        this->flush(now, *connection);
    }
    this->pump(now, *connection);
}

void HttpEdge::handle(TimePoint now, const AnswerStart& event)
{
    constexpr unsigned firstFinalStatus = 200;
    EdgeConnection* connection = this->findByRequest(event.request);
    if (connection == nullptr || event.head.status < firstFinalStatus) {
        return;
    }
    if (connection->answerStarted) {
        this->reset(now, *connection, "answer_truncated");
        return;
    }
    const ParsedRequestHead& request = connection->parser.head();
    connection->answerStarted = true;
    connection->framing = chooseAnswerFraming(event.head, request.head.method, request.isVersion10);
    // The rest of the body precedes the next request on the connection, so the connection cannot be reused.
    const bool bodyMissing = connection->parser.state() != HttpRequestParser::State::Complete;
    const bool closesForDrain = this->draining && !this->keepIdleConnections;
    connection->closeAfterAnswer = connection->closeAfterAnswer || !request.keepAlive || bodyMissing || closesForDrain
        || connection->framing.untilClose;
    this->write(now, *connection,
        formatAnswerHead(event.head, connection->framing, request.isVersion10, !connection->closeAfterAnswer), 0);
    this->flush(now, *connection);
}

void HttpEdge::handle(TimePoint now, const AnswerData& event)
{
    EdgeConnection* connection = this->findByRequest(event.request);
    if (connection == nullptr || event.data.empty()) {
        return;
    }
    AnswerFraming& framing = connection->framing;
    if (!connection->answerStarted || (framing.remaining && *framing.remaining < event.data.size())) {
        this->reset(now, *connection, "answer_truncated");
        return;
    }
    if (!framing.hasBody) {
        this->broker.answerConsumed(now, event.request, event.data.size());
        return;
    }
    if (framing.remaining) {
        *framing.remaining -= event.data.size();
    }
    this->write(now, *connection, formatAnswerData(framing, event.data), event.data.size());
    this->flush(now, *connection);
}

void HttpEdge::handle(TimePoint now, const AnswerFinish& event)
{
    EdgeConnection* connection = this->findByRequest(event.request);
    this->connectionByRequest.erase(event.request);
    if (connection == nullptr) {
        return;
    }
    const bool wholeBody = !connection->framing.hasBody || connection->framing.remaining.value_or(0) == 0;
    if (!event.complete || !connection->answerStarted || !wholeBody) {
        connection->request = 0;
        this->reset(now, *connection, "answer_truncated");
        return;
    }
    connection->answerFinished = true;
    this->write(now, *connection, std::string(formatAnswerEnd(connection->framing)), 0);
    this->flush(now, *connection);
}

void HttpEdge::write(TimePoint now, EdgeConnection& connection, std::string text, std::size_t bodyBytes)
{
    if (text.empty()) {
        return;
    }
    if (connection.output.empty() && this->stack.unacknowledged(connection.identifier) == 0) {
        connection.lastOutputProgress = now;
    }
    connection.output.push_back({ std::move(text), 0, bodyBytes });
}

void HttpEdge::flush(TimePoint now, EdgeConnection& connection)
{
    std::size_t bodyBytes = 0;
    while (!connection.output.empty()) {
        EdgeOutput& front = connection.output.front();
        front.written += this->stack.write(connection.identifier, std::string_view(front.text).substr(front.written));
        if (front.written < front.text.size()) {
            break;
        }
        bodyBytes += front.bodyBytes;
        connection.output.pop_front();
    }
    if (bodyBytes > 0 && !connection.answerFinished) {
        this->broker.answerConsumed(now, connection.request, bodyBytes);
    }
    if (connection.output.empty() && connection.answerFinished) {
        this->finishAnswer(now, connection);
    }
}

void HttpEdge::finishAnswer(TimePoint now, EdgeConnection& connection)
{
    this->metrics.events("answer_finished").Increment();
    connection.request = 0;
    connection.answerFinished = false;
    const bool closesForDrain = this->draining && !this->keepIdleConnections;
    const bool hasUnreadInput = !this->stack.readable(connection.identifier).empty();
    if (connection.closeAfterAnswer || (closesForDrain && !hasUnreadInput)) {
        this->close(connection);
        return;
    }
    connection.answerStarted = false;
    connection.idleSince = now;
    connection.parser.startNext();
    this->pump(now, connection);
}

void HttpEdge::callerClosed(TimePoint now, EdgeConnection& connection)
{
    if (connection.answerFinished) {
        connection.closeAfterAnswer = true;
        return;
    }
    // A caller that has disconnected cannot be distinguished from one that only closed its sending side. The request is
    // cancelled, because in most cases nobody would receive its answer.
    if (connection.request != 0) {
        this->reset(now, connection, "caller_gone");
        return;
    }
    this->close(connection);
}

void HttpEdge::tick(TimePoint now)
{
    this->process(now, [&] {
        for (const auto& [identifier, connection] : this->connections) {
            if (!connection->ended) {
                this->checkTimeouts(now, *connection);
            }
        }
    });
}

void HttpEdge::checkTimeouts(TimePoint now, EdgeConnection& connection)
{
    const bool unwritten = !connection.output.empty() || this->stack.unacknowledged(connection.identifier) > 0;
    if (unwritten && now - connection.lastOutputProgress > progressTimeout) {
        this->reset(now, connection, "answer_stalled");
        return;
    }
    const HttpRequestParser::State state = connection.parser.state();
    if (connection.request == 0) {
        const bool headMissing = state == HttpRequestParser::State::Head && !connection.parser.isIdle();
        if (headMissing && now - connection.lastInput > headTimeout) {
            this->refuse(now, connection, { requestTimeout, "head_timeout" }, false);
        } else if (this->draining && !this->keepIdleConnections && this->hasNothingPending(connection)
            && now - connection.idleSince > drainGrace) {
            this->close(connection);
        }
        return;
    }
    const bool awaitsBody = state == HttpRequestParser::State::Body && connection.parser.pendingBody() == 0;
    if (awaitsBody && !connection.answerStarted && now - connection.lastInput > progressTimeout) {
        this->reset(now, connection, "request_stalled");
    }
}

void HttpEdge::startDraining(TimePoint now, bool keepIdle)
{
    this->draining = true;
    this->keepIdleConnections = keepIdle;
    if (keepIdle) {
        return;
    }
    this->process(now, [&] {
        for (const auto& [identifier, connection] : this->connections) {
            if (!connection->ended && this->hasNothingPending(*connection)) {
                this->close(*connection);
            }
        }
    });
}

bool HttpEdge::hasNothingPending(const EdgeConnection& connection) const
{
    return !connection.ended && connection.request == 0 && connection.parser.isIdle() && connection.output.empty()
        && !connection.answerFinished && this->stack.readable(connection.identifier).empty();
}

// No further request is read while the connection awaits its handover; unread bytes are handed over with it.
bool HttpEdge::awaitsHandover(const EdgeConnection& connection) const
{
    return this->draining && this->keepIdleConnections && !connection.closeAfterAnswer && connection.request == 0
        && connection.parser.isIdle();
}

bool HttpEdge::isIdle(std::uint64_t identifier) const
{
    const auto found = this->connections.find(identifier);
    if (found == this->connections.end()) {
        return false;
    }
    const EdgeConnection& connection = *found->second;
    return !connection.ended && !connection.closeAfterAnswer && connection.request == 0 && connection.parser.isIdle()
        && connection.output.empty() && !connection.answerFinished && this->stack.unacknowledged(identifier) == 0;
}

std::vector<std::uint64_t> HttpEdge::idleConnections() const
{
    std::vector<std::uint64_t> result;
    for (const auto& [identifier, connection] : this->connections) {
        if (this->isIdle(identifier)) {
            result.push_back(identifier);
        }
    }
    return result;
}

void HttpEdge::release(std::uint64_t identifier) { this->connections.erase(identifier); }

void HttpEdge::endWhenIdle(TimePoint now, std::uint64_t identifier)
{
    EdgeConnection* connection = this->find(identifier);
    if (connection == nullptr) {
        return;
    }
    connection->closeAfterAnswer = true;
    this->process(now, [&] {
        this->pump(now, *connection);
        if (this->hasNothingPending(*connection)) {
            this->close(*connection);
        }
    });
}

void HttpEdge::resetBusy(TimePoint now)
{
    this->process(now, [&] {
        for (const auto& [identifier, connection] : this->connections) {
            if (!connection->ended && connection->request != 0) {
                this->reset(now, *connection, "drain_limit");
            }
        }
    });
}

void HttpEdge::cancelRequest(TimePoint now, EdgeConnection& connection)
{
    if (connection.request != 0 && !connection.answerFinished) {
        this->connectionByRequest.erase(connection.request);
        this->broker.cancel(now, connection.request);
    }
    connection.request = 0;
}

void HttpEdge::close(EdgeConnection& connection)
{
    this->stack.close(connection.identifier);
    this->end(connection);
}

void HttpEdge::reset(TimePoint now, EdgeConnection& connection, const std::string& reason)
{
    this->metrics.drops(step, reason).Increment();
    this->cancelRequest(now, connection);
    this->stack.abort(connection.identifier);
    this->end(connection);
}

void HttpEdge::end(EdgeConnection& connection)
{
    connection.ended = true;
    this->endedConnections.push_back(connection.identifier);
}

}
