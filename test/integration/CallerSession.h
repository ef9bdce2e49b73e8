#pragma once

#include "CallHistory.h"
#include "HttpConnection.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace chicoryferry::integration {

// One caller that sends requests to one service over one connection, reconnects after a loss and records each call.
class CallerSession {
public:
    // The history must outlive this object.
    CallerSession(CallHistory&, std::string callerAddress, std::string serviceName, const Endpoint& entryAddress);

    HttpAnswer get(const std::string& target, std::chrono::milliseconds timeout = std::chrono::seconds(30));

    HttpAnswer post(const std::string& target, const std::string& body, const std::string& idempotencyKey,
        std::chrono::milliseconds timeout = std::chrono::seconds(30));

    // Opens the connection without sending a request. Throws std::runtime_error if it is refused.
    void connect();

    // Closes the connection with a TCP reset.
    void reset();

    // Number of connections on which a request got no complete answer: the connection was lost (also while idle, which
    // the next request notices), the call timed out, or the answer was malformed. A close that the service announced
    // with "Connection: close" does not count.
    std::uint64_t brokenFlows() const { return this->broken; }

private:
    HttpAnswer perform(Call, std::chrono::milliseconds timeout);

    CallHistory& history;
    std::string caller;
    std::string service;
    Endpoint entry;
    std::unique_ptr<HttpConnection> connection;
    std::uint64_t broken { 0 };
};

}
