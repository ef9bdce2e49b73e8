#pragma once

#include "ScriptedBackend.h"
#include "app/RequestBroker.h"
#include "app/Settings.h"
#include "messages.pb.h"
#include "support/Logger.h"
#include "support/Metrics.h"
#include "transport/EventLoop.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

// The answer that a caller has received so far.
struct CallerRecord {
    std::optional<HttpAnswerHead> head;
    std::string body;
    std::optional<bool> complete; // set when the answer ended
    std::size_t bodyCredit { 0 };

    bool hasEnded() const { return this->complete.has_value(); }
    // The value of a header field of the answer; empty if the field is absent.
    std::string header(const std::string& name) const;
};

// Brokers with one scripted backend server each, connected in memory on one event loop. `skew` advances their clock.
class BrokerNetwork {
public:
    struct Message {
        std::size_t from { 0 };
        std::size_t to { 0 };
        wire::PeerMessage content;
    };

    struct Agent {
        Settings settings;
        std::unique_ptr<ScriptedBackend> backend;
        std::unique_ptr<Metrics> metrics;
        std::unique_ptr<Logger> logger;
        std::unique_ptr<RequestBroker> broker;
        std::map<std::uint64_t, CallerRecord> callers;
        std::vector<std::pair<std::uint64_t, std::size_t>> toConsume;
    };

    // Creates one agent for each script; the script defines the behaviour of its backend server.
    BrokerNetwork(std::vector<ScriptedBackend::Script> scripts, unsigned slots);

    // Submits a request. An empty body means a request without a body.
    std::uint64_t submit(
        std::size_t agent, const std::string& method, const std::string& target, std::string body = {});

    // One round: socket events, messages, timeouts.
    void step();
    bool runUntilTrue(const std::function<bool()>& done, std::chrono::milliseconds limit = std::chrono::seconds(20));
    bool runToEnd(std::size_t agent, std::uint64_t request);

    CallerRecord& caller(std::size_t agent, std::uint64_t request) { return this->agents[agent].callers[request]; }
    std::chrono::steady_clock::time_point now() const { return std::chrono::steady_clock::now() + this->skew; }
    double drops(std::size_t agent, const std::string& reason);
    // Applies the next configuration version on all agents, with the given incarnation for the last agent.
    void publish(std::uint64_t lastIncarnation = 1);

    EventLoop loop;
    std::vector<Agent> agents;
    std::deque<Message> messages;
    // Called for each sent message; returns the messages that are queued instead. Tests inject message faults here.
    std::function<std::vector<Message>(Message)> transfer;
    std::chrono::milliseconds skew { 0 };
    std::chrono::milliseconds routeDeadline { 20000 };
    bool consumeAtOnce { true };

private:
    void receive(std::size_t agent, EdgeEvent);
    void uploadBodies(std::size_t agent);

    unsigned slotCount;
    std::uint64_t version { 0 };
    std::map<std::pair<std::size_t, std::uint64_t>, std::string> uploads;
};

}
