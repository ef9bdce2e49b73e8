#pragma once

#include "coordination/PeerIdentity.h"
#include "coordination/RunResult.h"
#include "messages.pb.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace chicoryferry {

// Send a message to a peer. Grants are sent with GrantToPeer instead.
struct SendToPeer {
    PeerIdentity peer;
    wire::PeerMessage message;
};

// Holder: run a held request on the local backend server. Report the end with RequestPlacement::runEnded().
struct RunOwnRequest {
    std::uint64_t request { 0 };
    std::uint64_t claim { 0 };
    std::chrono::milliseconds remainingDeadline { 0 };
};

// Holder: send a Grant with the request's head and body to the claimer. Report the end of the run with
// RequestPlacement::runEnded().
struct GrantToPeer {
    std::uint64_t request { 0 };
    std::uint64_t claim { 0 };
    PeerIdentity claimer;
    std::chrono::milliseconds remainingDeadline { 0 };
};

// Claimer: run a peer's request on the local backend server. Report the end with RequestPlacement::peerRunEnded().
struct RunPeerRequest {
    PeerIdentity holder;
    std::uint64_t request { 0 };
    std::uint64_t claim { 0 };
};

// Holder or claimer: stop the run and discard its answer.
struct CancelRun {
    PeerIdentity holder;
    std::uint64_t request { 0 };
    std::uint64_t claim { 0 };
    std::string reason;
};

// Holder: answer the caller with an error. The outcome is NotRun or Unknown; Completed for a repeated idempotency key.
struct RefuseRequest {
    std::uint64_t request { 0 };
    unsigned status { 503 };
    RunOutcome outcome { RunOutcome::NotRun };
    std::string reason;
    std::chrono::milliseconds retryAfter { 0 }; // 0: omit the Retry-After header
    unsigned completedStatus { 0 }; // HTTP status of the earlier answer, for a repeated key with outcome Completed
};

// Holder: answer the request with a copy of the leader's complete answer, from its first byte.
struct ShareAnswer {
    std::uint64_t request { 0 };
    std::uint64_t leader { 0 };
};

using PlacementAction
    = std::variant<SendToPeer, RunOwnRequest, GrantToPeer, RunPeerRequest, CancelRun, RefuseRequest, ShareAnswer>;

using PlacementActions = std::vector<PlacementAction>;

}
