#pragma once

#include "app/BrokerCallbacks.h"
#include "app/EdgeConnection.h"
#include "app/EdgeEvent.h"
#include "protocol/HttpFault.h"
#include "transport/TcpEvent.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

class Metrics;
class TcpStack;

// HTTP/1.1 server for callers: reads requests from each connection one at a time, and writes the answers in order.
class HttpEdge {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // The stack and metrics must outlive this object.
    HttpEdge(TcpStack&, Metrics&, BrokerCallbacks);

    // A caller's connection to the service is established.
    void opened(TimePoint, std::uint64_t connection, const std::string& service, const Endpoint& caller);

    // Events of connections that were opened.
    void connectionEvent(TimePoint, const TcpEvent&);

    // Events of requests that were submitted.
    void brokerEvent(TimePoint, EdgeEvent);

    // Handles timeouts; called at least every second.
    void tick(TimePoint);

    // Closes idle connections at once, and the others after their next answer. With keepIdle, connections stay open for
    // handover instead, and no further request is read from them.
    void startDraining(TimePoint, bool keepIdle);

    // Connections without a request in progress and without unacknowledged answer bytes. Requests that were not read
    // yet do not count.
    std::vector<std::uint64_t> idleConnections() const;

    // True when the connection is known and idleConnections() contains it.
    bool isIdle(std::uint64_t connection) const;

    // Removes a connection that was handed over, without closing it.
    void release(std::uint64_t connection);

    // Closes a connection that cannot be handed over: at once, or after the requests that have arrived on it.
    void endWhenIdle(TimePoint, std::uint64_t connection);

    // Resets every connection with a request in progress, because the process ends and cannot answer it.
    void resetBusy(TimePoint);

    std::size_t connectionCount() const { return this->connections.size(); }

private:
    // Runs the function, then handles the broker events that it caused and removes the connections that ended.
    void process(TimePoint, const std::function<void()>&);
    EdgeConnection* find(std::uint64_t connection);
    EdgeConnection* findByRequest(std::uint64_t request);

    void pump(TimePoint, EdgeConnection&);
    bool readHead(TimePoint, EdgeConnection&);
    bool readBody(TimePoint, EdgeConnection&);
    void submit(TimePoint, EdgeConnection&);
    void forwardBody(TimePoint, EdgeConnection&);
    void refuse(TimePoint, EdgeConnection&, const HttpFault&, bool submitted);

    void handle(TimePoint, const BodyCredit&);
    void handle(TimePoint, const AnswerStart&);
    void handle(TimePoint, const AnswerData&);
    void handle(TimePoint, const AnswerFinish&);

    void write(TimePoint, EdgeConnection&, std::string text, std::size_t bodyBytes);
    void flush(TimePoint, EdgeConnection&);
    void finishAnswer(TimePoint, EdgeConnection&);
    bool hasNothingPending(const EdgeConnection&) const;
    bool awaitsHandover(const EdgeConnection&) const;
    void callerClosed(TimePoint, EdgeConnection&);
    void checkTimeouts(TimePoint, EdgeConnection&);
    void cancelRequest(TimePoint, EdgeConnection&);
    void close(EdgeConnection&);
    void reset(TimePoint, EdgeConnection&, const std::string& reason);
    void end(EdgeConnection&);

    TcpStack& stack;
    Metrics& metrics;
    BrokerCallbacks broker;
    std::unordered_map<std::uint64_t, std::unique_ptr<EdgeConnection>> connections;
    std::unordered_map<std::uint64_t, std::uint64_t> connectionByRequest;
    std::deque<EdgeEvent> queuedEvents;
    std::vector<std::uint64_t> endedConnections;
    bool processing { false };
    bool draining { false };
    bool keepIdleConnections { false };
};

}
