#pragma once

#include "coordination/RequestDescription.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

// Identical requests on shareable routes: those that arrive before a run starts share it. While a run is in progress,
// the next one is held back, so that identical requests cost one run for each run time.
class SharedRuns {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    enum class Role {
        Alone, // not shareable
        Leader, // to be placed now
        HeldBack, // a leader that is to be placed when release() names it
        Follower, // shares the run of the leader that waits
    };

    Role arrived(TimePoint, const RequestDescription&, std::chrono::microseconds expectedRun);

    // The leader was granted. Returns the followers that share this run.
    std::vector<std::uint64_t> started(TimePoint, std::uint64_t leader);

    // The leader ended, having started or not; its followers are forgotten. Returns the leader that may be placed now.
    std::optional<std::uint64_t> ended(std::uint64_t leader);

    // A follower ended. Without effect for other requests.
    void followerGone(std::uint64_t request);

    // Makes the first follower of a leader that has not started the leader. Null when there is none.
    std::optional<std::uint64_t> promote(std::uint64_t leader);

    std::vector<std::uint64_t> followersOf(std::uint64_t leader) const;
    std::optional<std::uint64_t> leaderFor(std::uint64_t follower) const;

    // Leaders that are held back behind a run which takes much longer than expected. Each is named once.
    std::vector<std::uint64_t> releaseOverdue(TimePoint);

private:
    struct Group {
        std::vector<std::uint64_t> running; // leaders whose run is in progress
        std::optional<std::uint64_t> waiting; // the leader that has not started
        bool heldBack { false };
        TimePoint releaseAt; // of the leader held back
        std::map<std::uint64_t, std::vector<std::uint64_t>> followers; // by leader
    };

    static std::string keyOf(const RequestDescription&);

    std::map<std::string, Group> groups;
    std::map<std::uint64_t, std::string> keyOfLeader;
    std::map<std::uint64_t, std::uint64_t> leaderOf; // by follower
};

}
