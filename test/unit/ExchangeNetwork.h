#pragma once

#include "app/ConfigurationExchange.h"
#include "support/Logger.h"
#include "support/Metrics.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chicoryferry::testing {

// A valid configuration document with this many hosts of the service "job".
std::string configurationText(std::uint64_t version, unsigned hosts);

// Processes that exchange configuration in memory, with explicit time, and the platform that they read.
class ExchangeNetwork {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Member {
        std::string name;
        std::string availabilityZone;
        Endpoint endpoint;
        Metrics metrics;
        Logger logger { LogLevel::Error, "test" };
        std::unique_ptr<ConfigurationExchange> exchange;
        bool alive { true };
        bool paused { false }; // reads nothing and handles no timeout
        int part { 0 }; // messages pass only within one part

        std::uint64_t configurationVersion() const;
        bool ready() const { return this->exchange->view() != nullptr; }
    };

    // Members named p0, p1, ... in zones of this many members each; the platform lists them.
    ExchangeNetwork(std::size_t members, std::size_t membersPerZone);

    // A further process, listed or not.
    Member& add(std::size_t membersPerZone, bool listed);

    Member& member(std::size_t index) { return *this->members[index]; }
    std::size_t size() const { return this->members.size(); }

    void publish(DocumentKind, const std::string& text, std::uint64_t version);
    void publishConfiguration(std::uint64_t version, unsigned hosts);
    void publishInstances(std::uint64_t version);

    void run(std::chrono::milliseconds);
    TimePoint now() const { return this->time; }

    // Members that live and hold another version than this one.
    std::vector<std::string> membersWithout(std::uint64_t version) const;

    // Delivers a message as if a peer had sent it.
    void inject(Member&, const wire::PeerMessage&);

    bool outage { false };
    std::optional<std::uint64_t> staleVersion; // of the configuration; served whatever is asked
    std::uint64_t platformCalls { 0 };

private:
    struct Stored {
        std::uint64_t version { 0 };
        std::string text;
    };

    struct Question {
        Member* member { nullptr };
        AskPlatform ask;
        TimePoint askedAt;
    };

    struct Delivery {
        TimePoint due;
        const Member* sender { nullptr };
        Endpoint receiver;
        wire::PeerMessage message;
    };

    void perform(Member&, ConfigurationExchange::Outputs);
    void deliverDue();
    void answerQuestions();
    std::optional<PlatformReport> answer(const Question&) const;

    TimePoint time { std::chrono::hours(1) };
    std::vector<std::unique_ptr<Member>> members;
    std::vector<bool> listed;
    std::map<DocumentKind, std::vector<Stored>> documents;
    std::deque<Delivery> deliveries;
    std::vector<Question> questions;
};

}
