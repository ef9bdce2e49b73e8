#pragma once

#include "coordination/PeerIdentity.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

// What is known of another agent from its messages.
struct PeerState {
    std::uint64_t incarnation { 0 };
    std::chrono::steady_clock::time_point lastHeard;
    std::uint64_t heartbeatSequence { 0 };
    unsigned freeSlots { 0 };
    unsigned queued { 0 };
    bool draining { false };
};

// The agents that were heard from. A peer that was silent for `suspicion` gets no offers.
class PeerTable {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    static constexpr std::chrono::milliseconds suspicion { 1000 };

    // Whether a message may be acted on, and what it says about the sender's earlier life.
    enum class Sighting {
        Known,
        New, // first message, or the first one after a suspicion
        Restarted, // first message of a newer incarnation
        Outdated, // from an earlier incarnation than the newest known: ignore the message
    };

    Sighting heardFrom(TimePoint, const PeerIdentity&);

    // Heartbeats that were overtaken by a newer one change nothing.
    void heartbeatReceived(
        const PeerIdentity&, std::uint64_t sequence, unsigned freeSlots, unsigned queued, bool draining);

    // The newest incarnation when the peer is not suspected.
    std::optional<PeerIdentity> liveIdentity(TimePoint, const std::string& instance) const;

    const PeerState* find(const std::string& instance) const;

    // Peers heard from within the suspicion time.
    std::vector<PeerIdentity> livePeers(TimePoint) const;

    // Forgets peers that were silent for an hour.
    void tick(TimePoint);

private:
    std::map<std::string, PeerState, std::less<>> peers;
};

}
