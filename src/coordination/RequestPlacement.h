#pragma once

#include "coordination/PeerIdentity.h"
#include "coordination/PlacementAction.h"
#include "coordination/RequestDescription.h"
#include "coordination/RunResult.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace chicoryferry {

class ConfigurationView;
class Metrics;

// Decides where and when each request runs: the holder's side (queue, offers, grants, retries, idempotency keys) and
// the host's side (slots, claims). No input, output, clock or thread; every call takes the time and returns actions
// in the order in which they are to be carried out.
//
// Rules between this class and its caller:
// - Claim, ClaimRejected, GrantExpired, NotRun, Cancel and the Key messages are sent by this class as SendToPeer. A
// Grant
//   is sent by the caller on GrantToPeer, and a received one is passed to messageReceived().
// - CancelRun ends the attempt here; a later runEnded() or peerRunEnded() for it is ignored.
// - RefuseRequest ends a request. After answerStarted() it means that the answer is cut off.
// - ShareAnswer comes when the leader is granted. A leader whose caller is gone is still run while others share its
//   answer; it ends with runEnded().
class RequestPlacement {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // self: this agent. metrics: receives the refusal and retry counters; must outlive this object.
    RequestPlacement(PeerIdentity self, Metrics&);
    ~RequestPlacement();
    RequestPlacement(const RequestPlacement&) = delete;
    RequestPlacement& operator=(const RequestPlacement&) = delete;

    // A new view is in force. historyComplete: see ControlPlane::historyComplete().
    PlacementActions viewChanged(TimePoint, std::shared_ptr<const ConfigurationView>, bool historyComplete);

    // Holder side.
    PlacementActions requestArrived(TimePoint, const RequestDescription&);
    // The first byte of the answer went to the caller: from here on the request cannot be repeated.
    PlacementActions answerStarted(TimePoint, std::uint64_t request);
    // The granted attempt ended, here or at a peer. NotRun from a peer comes as a message, not through this call.
    PlacementActions runEnded(TimePoint, std::uint64_t request, std::uint64_t claim, const RunResult&);
    // The caller's connection is gone.
    PlacementActions callerGone(TimePoint, std::uint64_t request);

    // Claimer side: a RunPeerRequest ended; the slot is free.
    PlacementActions peerRunEnded(
        TimePoint, const PeerIdentity& holder, std::uint64_t request, std::uint64_t claim, const RunResult&);

    // Offer, OfferWithdrawn, Claim, ClaimRejected, Grant, GrantExpired, NotRun, Cancel, Heartbeat and the Key messages.
    PlacementActions messageReceived(TimePoint, const PeerIdentity& from, const wire::PeerMessage&);

    // From now on this host claims nothing; requests held are placed on peers.
    PlacementActions startDraining(TimePoint);

    // Handles timeouts; call when nextTimeout() is reached, and at least every 100 ms.
    PlacementActions tick(TimePoint);
    TimePoint nextTimeout() const;

    // Requests held or run here that have not ended.
    std::size_t requestsInFlight() const;

    // Whether this host leaves and other hosts have not received all of its idempotency records yet.
    bool isHandingOnKeys() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
