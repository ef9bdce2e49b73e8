#pragma once

#include "protocol/Endpoint.h"
#include "protocol/HttpHead.h"
#include "transport/BackendEvent.h"
#include "transport/Wakeup.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

class BackendConnection;
class EventLoop;

// A non-blocking HTTP/1.1 client for one backend server that opens a new connection for each request. The credit given
// bounds the memory: no more of an answer is read than the credit allows. Used from one thread only.
class BackendClient {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using EventHandler = std::function<void(TimePoint, BackendEvent)>;

    // backendSilence: a run ends when the backend server neither accepts nor sends a byte for this long. onEvent is
    // called from the event loop and from tick(), never from inside another function of this class. The event loop must
    // outlive this object.
    BackendClient(
        EventLoop&, const Endpoint& backendServer, std::chrono::milliseconds backendSilence, EventHandler onEvent);
    ~BackendClient();
    BackendClient(const BackendClient&) = delete;
    BackendClient& operator=(const BackendClient&) = delete;

    // Starts a run, that is, one attempt at a request, and returns its identifier. deadline: the time left for the
    // request. answerCredit: bytes of the answer's body that may be delivered before addAnswerCredit().
    std::uint64_t start(
        TimePoint, const HttpRequestHead&, std::chrono::milliseconds deadline, std::size_t answerCredit);

    // The functions below ignore runs that have ended.

    // Bytes of the request body; last: the body is complete.
    void sendBody(TimePoint, std::uint64_t run, std::string data, bool last);
    void addAnswerCredit(TimePoint, std::uint64_t run, std::size_t bytes);

    // Closes the connection; no further events of the run follow.
    void cancel(std::uint64_t run);

    // Ends runs that made no progress; call at least every 100 ms.
    void tick(TimePoint);

    std::size_t size() const { return this->connections.size(); }

private:
    TimePoint currentTime();
    void advance(std::uint64_t run);
    void updateInterest(std::uint64_t run);
    void deliver(std::uint64_t run, std::vector<BackendEvent>);
    void reportFailedConnects();

    EventLoop& eventLoop;
    Endpoint backendServer;
    std::chrono::milliseconds backendSilence;
    EventHandler onEvent;
    Wakeup wakeup;
    std::vector<char> buffer;
    std::vector<std::uint64_t> failedConnects; // runs whose connection failed at once
    std::unordered_map<std::uint64_t, std::unique_ptr<BackendConnection>> connections;
    std::unordered_map<std::uint64_t, std::uint32_t> interests; // epoll events registered for each run
    std::uint64_t nextRun { 1 };
    TimePoint latestCallerTime;
};

}
