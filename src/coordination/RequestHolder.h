#pragma once

#include "coordination/AdmissionControl.h"
#include "coordination/HeldRequests.h"
#include "coordination/KeyRequests.h"
#include "coordination/PlacementContext.h"
#include "coordination/RecentHostWork.h"
#include "coordination/RequestCoalescer.h"
#include "coordination/RequestDescription.h"
#include "coordination/RetryBudget.h"
#include "coordination/RouteStatistics.h"
#include "coordination/RunResult.h"
#include "coordination/SlotScheduler.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicoryferry {

// The holder's side of placement. Accepts requests, offers them to the local host and to peers, grants each request to
// at most one claim at a time, retries failed attempts where that is allowed, and decides the outcome of each request.
class RequestHolder {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // slots: scheduler of the local host, which is offered requests by direct calls instead of messages. Both arguments
    // must outlive this object.
    RequestHolder(PlacementContext&, SlotScheduler& slots);

    void viewChanged(TimePoint);
    void requestArrived(TimePoint, const RequestDescription&);
    void answerStarted(std::uint64_t request);
    void runEnded(TimePoint, std::uint64_t request, std::uint64_t claim, const RunResult&);
    void callerDisconnected(TimePoint, std::uint64_t request);

    void claimReceived(TimePoint, const PeerIdentity&, const wire::Claim&);

    // The claimer reported with GrantExpired or NotRun that it did not run the request.
    void grantReturned(TimePoint, const PeerIdentity&, std::uint64_t request, std::uint64_t claim, const std::string&);
    void keyAnswered(TimePoint, const PeerIdentity&, const wire::KeyAnswer&);
    void peerRestarted(TimePoint, const PeerIdentity& current);

    // Returns and clears the queued messages to the coordinators of idempotency keys.
    KeyMessages takeKeyMessages() { return std::exchange(this->keyMessages, {}); }

    // Offers the most urgent waiting requests to the scheduler of the local host.
    void offerToLocalHost(TimePoint);

    // A free slot of the local host claimed a request.
    void localClaimMade(TimePoint, const SlotClaim&);

    void offerToPeers(TimePoint);

    void tick(TimePoint);

    // Cancels the grants to peers that have not been heard from within the claimer timeout. Iterates over all held
    // requests.
    void checkSilentClaimers(TimePoint);
    TimePoint nextTimeout() const;

    std::size_t waitingCount() const { return this->heldRequests.waitingCount(); }
    std::size_t heldCount() const { return this->heldRequests.size(); }
    std::size_t localRunCount() const { return this->localRuns; }

private:
    const std::vector<std::uint32_t>* hostsFor(const RequestDescription&) const;
    bool mayRunOn(const HeldRequest&, const std::string& instance) const;
    std::vector<PeerIdentity> selectPeers(TimePoint, const HeldRequest&) const;

    // False if an eligible live peer reports a free slot and has received less of this holder's work per slot than the
    // local host.
    bool isLocalHostPreferred(TimePoint, const HeldRequest&) const;
    void startWait(TimePoint, HeldRequest&);
    void endWait(TimePoint, HeldRequest&, bool started);
    void recordGrant(TimePoint, HeldRequest&);
    void withdrawOffers(HeldRequest&, const PeerIdentity* except);
    void cancelGrant(const HeldRequest&, const std::string& reason);

    void handleNotRun(TimePoint, HeldRequest&, const std::string& reason);
    void handleUnknownOutcome(TimePoint, HeldRequest&, const std::string& reason);
    void requeue(TimePoint, HeldRequest&, const std::string& step, const std::string& reason);
    bool canRetry(TimePoint, const HeldRequest&) const;
    void applyKeyDecision(TimePoint, const KeyDecision&);

    // Ends the request, and all requests that share its answer, with an error.
    void refuse(TimePoint, HeldRequest&, const std::string& step, RefuseRequest);
    void refuseForDeadline(TimePoint, std::uint64_t request);
    void complete(TimePoint, HeldRequest&, unsigned status);
    void promoteFollower(TimePoint, HeldRequest&);
    void end(TimePoint, std::uint64_t request, RunOutcome, unsigned status);

    PlacementContext& context;
    SlotScheduler& slots;
    HeldRequests heldRequests;
    RouteStatistics statistics;
    AdmissionControl admission;
    RetryBudget retryBudget;
    RequestCoalescer requestCoalescer;
    KeyRequests keyRequests;
    KeyMessages keyMessages;
    RecentHostWork recentHostWork;
    std::size_t localRuns { 0 };
};

}
