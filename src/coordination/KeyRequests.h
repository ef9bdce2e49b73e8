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

// What became of a request's wish for its idempotency key.
struct KeyDecision {
    std::uint64_t request { 0 };
    bool acquired { false };
    // Of a refusal:
    unsigned status { 503 };
    RunOutcome outcome { RunOutcome::NotRun };
    std::string reason;
    unsigned completedStatus { 0 }; // of the earlier answer, when the outcome is Completed
};

// The holder's side of idempotency keys: asks the coordinator for a key before a request may run, and reports how the
// request ended until the coordinator has recorded it.
class KeyRequests {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // hosts: of the request's service under the configuration in force.
    KeyMessages acquire(TimePoint, std::uint64_t request, const std::string& service, const std::string& key,
        std::uint64_t fingerprint, const std::vector<PeerIdentity>& hosts);

    // Null when the answer changes nothing: a repeat, a late one, or one that asks to try again.
    std::optional<KeyDecision> answered(TimePoint, const PeerIdentity& from, const wire::KeyAnswer&);

    // The request ended. Without effect for a request that has no key.
    KeyMessages finished(TimePoint, std::uint64_t request, RunOutcome, unsigned status);

    struct TickResult {
        KeyMessages messages;
        std::vector<KeyDecision> decisions;
    };

    // Repeats questions and reports. configuration: the one in force, null before the first.
    TickResult tick(TimePoint, const Configuration*);
    TimePoint nextTimeout() const;

private:
    enum class State {
        Asking,
        Held,
        Reporting,
        Reported, // remembered so that a late grant of the key is answered with the end
    };

    struct Entry {
        State state { State::Asking };
        std::string service;
        std::string key;
        std::uint64_t fingerprint { 0 };
        std::optional<PeerIdentity> coordinator; // asked last
        TimePoint began;
        TimePoint lastSent;
        unsigned reports { 0 };
        RunOutcome outcome { RunOutcome::NotRun };
        unsigned status { 0 };
        bool mayHold { false }; // the coordinator asked last may have granted the key
    };

    static void sendAcquire(TimePoint, std::uint64_t request, Entry&, KeyMessages&);
    static void sendFinish(TimePoint, std::uint64_t request, Entry&, KeyMessages&);

    std::map<std::uint64_t, Entry> entries;
};

}
