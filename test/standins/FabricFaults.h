#pragma once

#include "protocol/Endpoint.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <set>
#include <string_view>
#include <vector>

namespace chicoryferry::standins {

// The two ends of a flow.
struct FlowKey {
    Endpoint caller;
    Endpoint service;

    auto operator<=>(const FlowKey&) const = default;
};

// Direction of a packet through the fabric.
enum class PacketDirection {
    ToBalancer,
    ToCaller,
};

// Returns the flow of an IPv4 TCP packet; empty for anything else.
std::optional<FlowKey> flowOf(std::string_view packet, PacketDirection);

// Injects faults into packets, reproducibly from one seed: loss, duplication, delay, reordering, silent drop of flows.
class FabricFaults {
public:
    using Duration = std::chrono::microseconds;

    // Replaces the faults in force. Fields: seed, loss, duplication, reordering (probabilities), delayMs [minimum,
    // maximum], reorderDelayMs (added to the delay of a reordered packet), heal (true: silenced flows are delivered
    // again), silence {"callers": [addresses], "fraction": share}: silences flows that have been seen, but not those
    // that open later.
    void configure(const nlohmann::json&);

    // Returns the delay of each copy that is delivered; empty when the packet is dropped.
    std::vector<Duration> decide(std::string_view packet, PacketDirection);

    // Returns a random number below the limit, from the same seed.
    std::size_t choose(std::size_t limit);

    nlohmann::json counts() const;

private:
    bool drawWithProbability(double probability);
    Duration randomDelay();
    void silenceFlows(const nlohmann::json&);

    std::mt19937_64 random { 1 };
    double loss { 0 };
    double duplication { 0 };
    double reordering { 0 };
    Duration minimumDelay { 0 };
    Duration maximumDelay { 0 };
    Duration reorderDelay { 0 };
    std::set<FlowKey> seenFlows;
    std::set<FlowKey> silencedFlows;
    std::uint64_t lost { 0 };
    std::uint64_t duplicated { 0 };
    std::uint64_t reordered { 0 };
    std::uint64_t silenced { 0 };
};

}
