#pragma once

#include "coordination/AdmissionControl.h"
#include "coordination/KeyRequests.h"
#include "coordination/OfferBook.h"
#include "coordination/PlacementContext.h"
#include "coordination/RequestDescription.h"
#include "coordination/RetryBudget.h"
#include "coordination/RouteStatistics.h"
#include "coordination/RunResult.h"
#include "coordination/SharedRuns.h"
#include "coordination/SlotScheduler.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chicoryferry {

// The holder's side of placement: takes requests in, offers them to the own host and to peers, grants each to one
// claim, and decides how it ends.
class RequestHolder {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // slots: of the own host, which takes part without messages. Both must outlive this object.
    RequestHolder(PlacementContext&, SlotScheduler& slots);

    void viewChanged(TimePoint);
    void requestArrived(TimePoint, const RequestDescription&);
    void answerStarted(std::uint64_t request);
    void runEnded(TimePoint, std::uint64_t request, std::uint64_t claim, const RunResult&);
    void callerGone(TimePoint, std::uint64_t request);

    void claimReceived(TimePoint, const PeerIdentity&, const wire::Claim&);

    // The claimer did not run the request: GrantExpired or NotRun.
    void grantReturned(TimePoint, const PeerIdentity&, std::uint64_t request, std::uint64_t claim, const std::string&);
    void keyAnswered(TimePoint, const PeerIdentity&, const wire::KeyAnswer&);
    void peerRestarted(TimePoint, const PeerIdentity& current);

    // Messages about keys that the last call caused, for the coordinator.
    KeyMessages takeKeyMessages() { return std::exchange(this->keyMessages, {}); }

    // Makes the most urgent waiting requests known to the own host.
    void offerToOwnHost(TimePoint);

    // The own host's free slot claimed a request.
    void ownClaim(TimePoint, const SlotClaim&);

    void offerToPeers(TimePoint);

    void tick(TimePoint);

    // Gives up the requests granted to peers that fell silent. Visits every request held.
    void checkSilentClaimers(TimePoint);
    TimePoint nextTimeout() const;

    std::size_t waitingCount() const { return this->book.waitingCount(); }
    std::size_t heldCount() const { return this->book.size(); }
    std::size_t ownRunCount() const { return this->ownRuns; }

private:
    const std::vector<std::uint32_t>* hostsFor(const RequestDescription&) const;
    bool mayRunOn(const HeldRequest&, const std::string& instance) const;
    std::vector<PeerIdentity> peersFor(TimePoint, const HeldRequest&) const;

    void enqueue(TimePoint, HeldRequest&);
    void startWait(TimePoint, HeldRequest&);
    void endWait(TimePoint, HeldRequest&, bool started);
    void granted(TimePoint, HeldRequest&);
    void withdraw(HeldRequest&, const PeerIdentity* except);
    void cancelGrant(const HeldRequest&, const std::string& reason);

    void attemptNotRun(TimePoint, HeldRequest&, const std::string& reason);
    void attemptUnknown(TimePoint, HeldRequest&, const std::string& reason);
    void requeue(TimePoint, HeldRequest&, const std::string& step, const std::string& reason);
    bool mayRepeat(TimePoint, const HeldRequest&) const;
    void decideKey(TimePoint, const KeyDecision&);

    // Ends the request with an error, and those that share its answer with it.
    void refuse(TimePoint, HeldRequest&, const std::string& step, RefuseRequest);
    void refuseLate(TimePoint, std::uint64_t request);
    void complete(TimePoint, HeldRequest&, unsigned status);
    void promoteFollower(TimePoint, HeldRequest&);
    void end(TimePoint, std::uint64_t request, RunOutcome, unsigned status);

    PlacementContext& context;
    SlotScheduler& slots;
    OfferBook book;
    RouteStatistics statistics;
    AdmissionControl admission;
    RetryBudget retryBudget;
    SharedRuns sharedRuns;
    KeyRequests keyRequests;
    KeyMessages keyMessages;
    std::size_t ownRuns { 0 };
};

}
