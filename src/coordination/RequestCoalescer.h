#pragma once

#include "coordination/RequestDescription.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

// Coalesces identical requests on shareable routes: requests that arrive before a run starts share its answer. While a
// run is in progress, the next leader is held back, so that identical requests normally occupy one slot at a time.
class RequestCoalescer {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    enum class Role {
        Alone, // not shareable
        Leader, // to be placed at once
        HeldBack, // a leader that is placed when ended() or releaseOverdue() returns it
        Follower, // shares the run of the waiting leader
    };

    Role arrived(TimePoint, const RequestDescription&, std::chrono::microseconds expectedRun);

    // Records that the leader was granted. Returns the followers that share its run.
    std::vector<std::uint64_t> started(TimePoint, std::uint64_t leader);

    // Records that the leader ended, whether or not it had started, and removes its followers. Returns the held-back
    // leader that may be placed now, if any.
    std::optional<std::uint64_t> ended(std::uint64_t leader);

    // Removes a follower that ended. Has no effect for other requests.
    void followerGone(std::uint64_t request);

    // Replaces a leader that has not started by its first follower. Returns the new leader, or nullopt when there is no
    // follower.
    std::optional<std::uint64_t> promote(std::uint64_t leader);

    std::vector<std::uint64_t> followersOf(std::uint64_t leader) const;
    std::optional<std::uint64_t> leaderFor(std::uint64_t follower) const;

    // Releases the leaders held back behind a run that takes much longer than expected. Each is returned once.
    std::vector<std::uint64_t> releaseOverdue(TimePoint);

private:
    struct Group {
        std::vector<std::uint64_t> running; // granted leaders whose run has not ended
        std::optional<std::uint64_t> waiting; // the leader that has not started
        bool heldBack { false };
        TimePoint releaseAt; // when a held-back leader stops waiting for the run in progress
        std::map<std::uint64_t, std::vector<std::uint64_t>> followers; // by leader
    };

    static std::string keyOf(const RequestDescription&);

    std::map<std::string, Group> groups;
    std::map<std::uint64_t, std::string> keyOfLeader;
    std::map<std::uint64_t, std::uint64_t> leaderOf; // by follower
};

}
