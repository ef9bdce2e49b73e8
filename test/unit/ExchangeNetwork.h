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

// A valid configuration document with the given number of hosts of the service "job".
std::string configurationText(std::uint64_t version, unsigned hosts);

// Simulates processes that exchange configuration, and the platform that they read, in memory and in virtual time.
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
        bool paused { false }; // handles no timeout; messages to it are kept until it resumes
        int partitionId { 0 }; // network partition; messages are delivered only within a partition

        std::uint64_t configurationVersion() const;
        bool ready() const { return this->exchange->view() != nullptr; }
    };

    // Creates members p0, p1, ... with the given number of members in each availability zone. The platform lists them
    // all.
    ExchangeNetwork(std::size_t members, std::size_t membersPerZone);

    // Adds a process; `listed` selects whether the platform's instance list contains it.
    Member& add(std::size_t membersPerZone, bool listed);

    Member& member(std::size_t index) { return *this->members[index]; }
    std::size_t size() const { return this->members.size(); }

    void publish(DocumentKind, const std::string& text, std::uint64_t version);
    void publishConfiguration(std::uint64_t version, unsigned hosts);
    void publishInstances(std::uint64_t version);

    void run(std::chrono::milliseconds);
    TimePoint now() const { return this->time; }

    // The live members whose configuration version differs from the given one, as "name: version".
    std::vector<std::string> membersWithout(std::uint64_t version) const;

    // Delivers a message as if a peer had sent it.
    void inject(Member&, const wire::PeerMessage&);

    bool outage { false };
    // If set, the platform answers every configuration request with this version.
    std::optional<std::uint64_t> staleVersion;
    std::uint64_t platformCalls { 0 };

private:
    struct Stored {
        std::uint64_t version { 0 };
        std::string text;
    };

    struct PendingRead {
        Member* member { nullptr };
        QueryPlatform ask;
        TimePoint requestedAt;
    };

    struct Delivery {
        TimePoint due;
        const Member* sender { nullptr };
        Endpoint receiver;
        wire::PeerMessage message;
    };

    void applyOutputs(Member&, ConfigurationExchange::Outputs);
    void deliverDueMessages();
    void answerReads();
    std::optional<PlatformReport> answer(const PendingRead&) const;

    TimePoint time { std::chrono::hours(1) };
    std::vector<std::unique_ptr<Member>> members;
    std::vector<bool> listed;
    std::map<DocumentKind, std::vector<Stored>> documents;
    std::deque<Delivery> deliveries;
    std::vector<PendingRead> pendingReads;
};

}
