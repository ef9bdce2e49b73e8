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

// State of another agent, as learned from its messages.
struct PeerState {
    std::uint64_t incarnation { 0 };
    std::chrono::steady_clock::time_point lastHeard;
    std::uint64_t heartbeatSequence { 0 };
    unsigned freeSlots { 0 };
    unsigned queued { 0 };
    bool draining { false };
};

// The agents from which messages have been received. A peer that has been silent for longer than `suspicionTimeout` is
// suspected to have failed and gets no offers.
class PeerTable {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    static constexpr std::chrono::milliseconds suspicionTimeout { 1000 };

    // Whether a message may be acted on, and how the sender's incarnation relates to the newest known one.
    enum class SenderStatus {
        Known,
        New, // first message, or the first one after the peer was suspected
        Restarted, // first message of a newer incarnation
        Outdated, // from an earlier incarnation than the newest known: ignore the message
    };

    SenderStatus heardFrom(TimePoint, const PeerIdentity&);

    // Ignores heartbeats that arrive after a newer one, by sequence number.
    void heartbeatReceived(
        const PeerIdentity&, std::uint64_t sequence, unsigned freeSlots, unsigned queued, bool draining);

    // The newest incarnation of the peer. Null when the peer is unknown or suspected.
    std::optional<PeerIdentity> liveIdentity(TimePoint, const std::string& instance) const;

    const PeerState* find(const std::string& instance) const;

    // Peers that are not suspected.
    std::vector<PeerIdentity> livePeers(TimePoint) const;

    // Removes peers that have been silent for an hour.
    void tick(TimePoint);

private:
    std::map<std::string, PeerState, std::less<>> peers;
};

}
