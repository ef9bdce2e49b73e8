#pragma once

#include "CallHistory.h"
#include "HttpConnection.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace chicoryferry::integration {

// One caller that asks one service over one connection, opens a new one when it is lost, and records each call.
class CallerSession {
public:
    // The history must outlive this object.
    CallerSession(CallHistory&, std::string callerAddress, std::string serviceName, const Endpoint& entryAddress);

    HttpAnswer get(const std::string& target, std::chrono::milliseconds timeout = std::chrono::seconds(30));

    HttpAnswer post(const std::string& target, const std::string& body, const std::string& idempotencyKey,
        std::chrono::milliseconds timeout = std::chrono::seconds(30));

    // Opens the connection without a request. Throws std::runtime_error when it is refused.
    void connect();

    // Closes the connection so that the other side sees a reset.
    void reset();

    // Connections that were lost while they were in use or open, without a Connection: close of the service.
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
