#pragma once

#include "coordination/PeerIdentity.h"
#include "coordination/RequestDescription.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chicoryferry {

// A request that the holder has accepted and that has not ended yet.
struct HeldRequest {
    enum class State {
        Pending, // not offered yet: waits for its idempotency key or for an identical request
        Waiting, // offered to hosts
        Granted,
        Shared, // receives the answer of an identical request that was granted
    };

    RequestDescription description;
    std::chrono::steady_clock::time_point arrived;
    std::chrono::steady_clock::time_point deadline;
    std::chrono::microseconds expectedRun { 0 }; // time to reserve for the run before the deadline
    std::chrono::microseconds meanRun { 0 };
    bool longRunning { false };
    State state { State::Pending };
    bool includedInWaitingCount { false }; // included in the waiting count of AdmissionControl
    bool callerDisconnected { false }; // the run continues for the requests that share its answer
    unsigned attempt { 0 }; // number of grants revoked so far
    bool answerStarted { false };
    bool earlierAttemptMayHaveRun { false };
    std::set<PeerIdentity> offeredTo;
    std::set<std::string> failedInstances; // instances whose backend server did not take the request
    std::chrono::steady_clock::time_point nextOffer; // next time at which the request is offered to peers
    std::optional<std::chrono::steady_clock::time_point>
        localClaimNotBefore; // the local host claims no earlier than this
    std::chrono::microseconds grantedWork { 0 }; // work accounted to the claimer at the grant

    // Valid while the request is granted.
    PeerIdentity claimer;
    std::uint64_t claim { 0 };
    std::chrono::steady_clock::time_point grantedAt;
};

// The requests of a holder that have not ended, each with at most one active grant.
class HeldRequests {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Adds a request in state Pending.
    void add(HeldRequest);

    // Moves a pending request to state Waiting, in which it is offered.
    void makeWaiting(std::uint64_t request);

    // Moves a pending request to state Shared: it receives the answer of another request.
    void makeShared(std::uint64_t request);

    HeldRequest* find(std::uint64_t request);
    const HeldRequest* find(std::uint64_t request) const;

    // Grants a waiting request to the claim. Returns false when the request is not waiting, so that a request has at
    // most one grant at any time.
    bool grant(TimePoint, std::uint64_t request, const PeerIdentity& claimer, std::uint64_t claim);

    // Revokes the grant and returns the request to state Waiting. Allowed only when the granted attempt is known not to
    // have run, or when the request is repeatable. Returns false when this is not the active grant.
    bool revokeGrant(std::uint64_t request, const PeerIdentity& claimer, std::uint64_t claim);

    // Whether this is the active grant of the request.
    bool isGranted(std::uint64_t request, const PeerIdentity& claimer, std::uint64_t claim) const;

    // Records that the first byte of the answer was sent to the caller. The request no longer becomes overdue.
    void answerStarted(std::uint64_t request);

    void remove(std::uint64_t request);

    // All pending and waiting requests, ordered by request number.
    std::vector<std::uint64_t> ungranted() const;

    // Waiting requests ordered by latest start time: at most `limit` short and `limit` long ones. The limits are
    // separate so that long requests, which may not use every slot, never crowd out short ones.
    std::vector<std::uint64_t> mostUrgent(std::size_t limit) const;

    // Granted requests whose claimer satisfies the condition.
    template <typename Condition> std::vector<std::uint64_t> grantedTo(const Condition& condition) const
    {
        std::vector<std::uint64_t> found;
        for (const auto& [request, held] : this->requests) {
            if (held.state == HeldRequest::State::Granted && condition(held.claimer)) {
                found.push_back(request);
            }
        }
        return found;
    }

    // Pending and waiting requests that would miss their deadline if they started at `now`.
    std::vector<std::uint64_t> deadlineUnreachable(TimePoint now) const;

    // Granted and shared requests past their deadline whose answer has not started.
    std::vector<std::uint64_t> overdue(TimePoint now) const;

    // The earliest time at which deadlineUnreachable() or overdue() may return a further request.
    TimePoint nextDeadline() const;

    std::size_t waitingCount() const { return this->waitingShort.size() + this->waitingLong.size(); }
    std::size_t size() const { return this->requests.size(); }

private:
    using Urgency = std::pair<TimePoint, std::uint64_t>;

    static Urgency urgencyOf(const HeldRequest&);
    std::set<Urgency>& queueOf(const HeldRequest&);
    void removeFromQueue(const HeldRequest&);

    std::map<std::uint64_t, HeldRequest> requests;
    std::set<Urgency> pending; // by latest start
    std::set<Urgency> waitingShort; // by latest start
    std::set<Urgency> waitingLong; // by latest start
    std::set<Urgency> grantedByDeadline; // granted and shared requests whose answer has not started
};

}
