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

// A request that the holder has not ended.
struct HeldRequest {
    enum class State {
        Pending, // not on offer: waits for its idempotency key, or for an identical request
        Waiting, // on offer
        Granted,
        Shared, // gets the answer of an identical request that was granted
    };

    RequestDescription description;
    std::chrono::steady_clock::time_point arrived;
    std::chrono::steady_clock::time_point deadline;
    std::chrono::microseconds expectedRun { 0 }; // time that the run needs before the deadline
    std::chrono::microseconds meanRun { 0 };
    bool longRunning { false };
    State state { State::Pending };
    bool countedWaiting { false }; // by the admission control
    bool callerGone { false }; // runs on for those that share its answer
    unsigned attempt { 0 }; // grants that came to nothing
    bool answerStarted { false };
    bool unsolvedAttempt { false }; // an earlier attempt may have run
    std::set<PeerIdentity> offeredTo;
    std::set<std::string> failedOn; // instances whose backend server did not take the request
    std::chrono::steady_clock::time_point nextOffer; // to peers
    std::optional<std::chrono::steady_clock::time_point> ownTurn; // the own host claims no earlier than this
    std::chrono::microseconds grantedWork { 0 }; // counted for the claimer at the grant

    // Of the grant.
    PeerIdentity claimer;
    std::uint64_t claim { 0 };
    std::chrono::steady_clock::time_point granted;
};

// The holder's side of placement: requests that wait, and for each at most one grant that has not come to an end.
class OfferBook {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Adds a request that is pending.
    void add(HeldRequest);

    // Puts a pending request on offer.
    void makeWaiting(std::uint64_t request);

    // A pending request gets the answer of another one.
    void makeShared(std::uint64_t request);

    HeldRequest* find(std::uint64_t request);
    const HeldRequest* find(std::uint64_t request) const;

    // Grants the request to the claim when it waits; false otherwise. A request has at most one grant at any time.
    bool grant(TimePoint, std::uint64_t request, const PeerIdentity& claimer, std::uint64_t claim);

    // Ends the grant without an end of the request, which waits again. Only for a grant that is known not to have run,
    // or to repeat a repeatable request. False when this is not the grant in force.
    bool takeBack(std::uint64_t request, const PeerIdentity& claimer, std::uint64_t claim);

    // True when this is the grant in force.
    bool isGranted(std::uint64_t request, const PeerIdentity& claimer, std::uint64_t claim) const;

    // The first byte of the answer went to the caller; the request no longer becomes overdue.
    void answerStarted(std::uint64_t request);

    void remove(std::uint64_t request);

    // Every request that has not been granted, by number.
    std::vector<std::uint64_t> ungranted() const;

    // Waiting requests, the one with the earliest latest start first: at most `limit` short and `limit` long ones. They
    // are counted apart so that long requests, which may not use every slot, never hide the short ones.
    std::vector<std::uint64_t> mostUrgent(std::size_t limit) const;

    // Granted requests whose claimer fulfils the condition.
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

    // Pending and waiting requests whose expected completion at `now` misses their deadline.
    std::vector<std::uint64_t> hopeless(TimePoint now) const;

    // Granted and sharing requests past their deadline whose answer has not started.
    std::vector<std::uint64_t> overdue(TimePoint now) const;

    // The earliest time at which hopeless() or overdue() may find something new.
    TimePoint nextDeadline() const;

    std::size_t waitingCount() const { return this->waitingShort.size() + this->waitingLong.size(); }
    std::size_t size() const { return this->requests.size(); }

private:
    using Urgency = std::pair<TimePoint, std::uint64_t>;

    static Urgency urgencyOf(const HeldRequest&);
    std::set<Urgency>& queueOf(const HeldRequest&);
    void leaveQueue(const HeldRequest&);

    std::map<std::uint64_t, HeldRequest> requests;
    std::set<Urgency> pending; // by latest start
    std::set<Urgency> waitingShort; // by latest start
    std::set<Urgency> waitingLong; // by latest start
    std::set<Urgency> grantedByDeadline; // grants whose answer has not started
};

}
