#pragma once

#include "app/EdgeEvent.h"
#include "coordination/PeerIdentity.h"
#include "protocol/Endpoint.h"
#include "protocol/HttpHead.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace chicoryferry {

namespace wire {
class PeerMessage;
}

class ConfigurationView;
class EventLoop;
class Logger;
class Metrics;
struct Settings;

// Forwards requests from the HTTP edge to the backend server that placement chooses, the local one or that of a peer,
// and streams the answers back with bounded memory. Runs on the agent's data thread.
class RequestBroker {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using EventHandler = std::function<void(EdgeEvent)>;
    using MessageSender = std::function<bool(const Endpoint& peer, wire::PeerMessage)>;

    // onEvent: receives the events of requests; never called from inside submit(). sendMessage: see
    // ControlPlane::send(). All references must outlive this object.
    RequestBroker(const Settings&, Logger&, Metrics&, EventLoop&, EventHandler onEvent, MessageSender sendMessage);
    ~RequestBroker();
    RequestBroker(const RequestBroker&) = delete;
    RequestBroker& operator=(const RequestBroker&) = delete;

    void viewChanged(TimePoint, std::shared_ptr<const ConfigurationView>, bool historyComplete);

    // Accepts a request to the service and returns its identifier, which later calls and events carry.
    std::uint64_t submit(TimePoint, const std::string& service, const Endpoint& caller, HttpRequestHead);

    // Bytes of the request body, at most the credit given; last: the body is complete. A request without a body needs
    // no call.
    void requestBody(TimePoint, std::uint64_t request, std::string data, bool last);

    // The edge has passed on this many bytes of the answer's body to the caller, so that as many more may follow.
    void answerConsumed(TimePoint, std::uint64_t request, std::size_t bytes);

    // The caller's connection is gone. No further events follow.
    void cancel(TimePoint, std::uint64_t request);

    // A message from another agent that concerns requests, keys or load.
    void messageReceived(TimePoint, const wire::PeerMessage&);

    void startDraining(TimePoint);

    // Handles timeouts; called at least every 100 ms, and when nextTimeout() is reached.
    void tick(TimePoint);
    TimePoint nextTimeout() const;

    // Requests held or run here that have not ended.
    std::size_t requestsInFlight() const;

    // True while this host is leaving and other hosts have not received all of its idempotency records yet.
    bool isTransferringKeyRecords() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
