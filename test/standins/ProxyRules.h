#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace chicoryferry::standins {

// One unit of proxied traffic: a datagram, a chunk of a byte stream, or one message between agents.
struct ProxiedItem {
    std::string from; // instance that sent a message; empty when it is not known
    std::string to; // name of the relay
    std::string kind; // body field of a message, for example "grant"; empty for anything else
    bool fromTarget { false }; // sent by the target to the side that connected
};

// Drops, duplicates and delays items, reproducibly from one seed. The first rule that matches is applied; an item that
// matches no rule passes unchanged.
class ProxyRules {
public:
    using Duration = std::chrono::microseconds;

    // Replaces the rules. Fields: seed, rules [{from, to (names, or lists of names; absent: any), kinds (absent: any,
    // also items that are not messages), direction ("both", "forward" or "back"; default both), drop, duplicate
    // (probabilities), delayMs [minimum, maximum]}].
    void configure(const nlohmann::json&);

    // Returns the delay of each copy that passes; empty when the item is dropped.
    std::vector<Duration> decide(const ProxiedItem&);

    nlohmann::json counts() const;

private:
    struct Rule {
        std::vector<std::string> from;
        std::vector<std::string> to;
        std::vector<std::string> kinds;
        std::string direction;
        double drop { 0 };
        double duplicate { 0 };
        Duration minimumDelay { 0 };
        Duration maximumDelay { 0 };
        std::uint64_t dropped { 0 };
        std::uint64_t passed { 0 };
    };

    static bool matches(const Rule&, const ProxiedItem&);
    bool drawWithProbability(double probability);
    Duration randomDelay(const Rule&);

    std::mt19937_64 random { 1 };
    std::vector<Rule> rules;
};

}
