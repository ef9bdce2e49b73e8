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

// Decides where and when each request runs. Contains the holder's side (queue, offers, grants, retries, idempotency
// keys) and the host's side (slots, claims). Performs no I/O, reads no clock and uses no threads: every call takes the
// current time and returns actions, which must be carried out in the order in which they are returned.
//
// Contract between this class and its caller:
// - Offer, OfferWithdrawn, Claim, ClaimRejected, GrantExpired, NotRun, Cancel, Heartbeat and the Key messages are
//   returned as SendToPeer. A Grant is sent by the caller on GrantToPeer; a received Grant is passed to
//   messageReceived().
// - CancelRun ends the attempt for this class; a later runEnded() or peerRunEnded() for it is ignored.
// - RefuseRequest ends a request. After answerStarted() it means that the answer is truncated.
// - ShareAnswer is returned when the leader is granted. The run of a leader whose caller disconnected continues while
//   other requests share its answer; it ends with runEnded().
class RequestPlacement {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // self: this agent. metrics: receives the refusal and retry counters; must outlive this object.
    RequestPlacement(PeerIdentity self, Metrics&);
    ~RequestPlacement();
    RequestPlacement(const RequestPlacement&) = delete;
    RequestPlacement& operator=(const RequestPlacement&) = delete;

    // Installs a new configuration view. historyComplete: see ControlPlane::historyComplete().
    PlacementActions viewChanged(TimePoint, std::shared_ptr<const ConfigurationView>, bool historyComplete);

    // Holder side.
    PlacementActions requestArrived(TimePoint, const RequestDescription&);
    // The first byte of the answer was sent to the caller; the request cannot be retried from here on.
    PlacementActions answerStarted(TimePoint, std::uint64_t request);
    // The granted attempt ended, on the local host or on a peer. A NotRun from a peer is passed to messageReceived()
    // instead.
    PlacementActions runEnded(TimePoint, std::uint64_t request, std::uint64_t claim, const RunResult&);
    // The caller's connection was closed.
    PlacementActions callerDisconnected(TimePoint, std::uint64_t request);

    // Claimer side: the run started by RunPeerRequest ended and its slot is free.
    PlacementActions peerRunEnded(
        TimePoint, const PeerIdentity& holder, std::uint64_t request, std::uint64_t claim, const RunResult&);

    // Offer, OfferWithdrawn, Claim, ClaimRejected, Grant, GrantExpired, NotRun, Cancel, Heartbeat and the Key messages.
    PlacementActions messageReceived(TimePoint, const PeerIdentity& from, const wire::PeerMessage&);

    // Stops claiming requests for the local host. Requests that are still held are placed on peers.
    PlacementActions startDraining(TimePoint);

    // Handles timeouts; call when nextTimeout() is reached, and at least every 100 ms.
    PlacementActions tick(TimePoint);
    TimePoint nextTimeout() const;

    // Number of requests held or run by this agent that have not ended.
    std::size_t requestsInFlight() const;

    // True from the start of the transfer of the local host's idempotency records to other hosts until it is complete.
    bool isTransferringKeyRecords() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
