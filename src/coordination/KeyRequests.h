#pragma once

#include "coordination/KeyCoordinator.h"
#include "coordination/RunResult.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

// The result of a request's attempt to acquire its idempotency key.
struct KeyDecision {
    std::uint64_t request { 0 };
    bool acquired { false };
    // Set when the key was refused:
    unsigned status { 503 };
    RunOutcome outcome { RunOutcome::NotRun };
    std::string reason;
    unsigned completedStatus { 0 }; // HTTP status of the earlier answer, when the outcome is Completed
};

// The holder's side of idempotency keys: acquires a key from its coordinator before a request may run, and resends the
// request's outcome until the coordinator confirms that it is recorded.
class KeyRequests {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // hosts: the coordinating hosts of the request's service under the configuration in force.
    KeyMessages acquire(TimePoint, std::uint64_t request, const std::string& service, const std::string& key,
        std::uint64_t fingerprint, const std::vector<PeerIdentity>& hosts);

    // Null when the answer decides nothing: a duplicate, a late answer, or one after which the key is requested again.
    std::optional<KeyDecision> answered(TimePoint, const PeerIdentity& from, const wire::KeyAnswer&);

    // Reports that the request has ended. Has no effect for a request without a key.
    KeyMessages finished(TimePoint, std::uint64_t request, RunOutcome, unsigned status);

    struct TickResult {
        KeyMessages messages;
        std::vector<KeyDecision> decisions;
    };

    // Resends acquire and finish messages and decides on timed-out acquisitions. configuration: the one in force, null
    // before the first.
    TickResult tick(TimePoint, const Configuration*);
    TimePoint nextTimeout() const;

private:
    enum class State {
        Acquiring,
        Held,
        Reporting,
        Reported, // kept so that a late grant of the key is answered with the outcome
    };

    struct Entry {
        State state { State::Acquiring };
        std::string service;
        std::string key;
        std::uint64_t fingerprint { 0 };
        std::optional<PeerIdentity> coordinator; // the one addressed last
        TimePoint started;
        TimePoint lastSent;
        unsigned reports { 0 }; // number of KeyFinish messages sent
        RunOutcome outcome { RunOutcome::NotRun };
        unsigned status { 0 };
        bool possiblyGranted { false }; // the coordinator addressed last may have granted the key
    };

    static void sendAcquire(TimePoint, std::uint64_t request, Entry&, KeyMessages&);
    static void sendFinish(TimePoint, std::uint64_t request, Entry&, KeyMessages&);

    std::map<std::uint64_t, Entry> entries;
};

}
