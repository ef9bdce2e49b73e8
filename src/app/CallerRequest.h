#pragma once

#include "app/AnswerStream.h"
#include "app/RequestBodyBuffer.h"
#include "coordination/PeerIdentity.h"
#include "coordination/RequestDescription.h"
#include "protocol/Endpoint.h"
#include "protocol/HttpHead.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>

namespace chicoryferry {

// An attempt in progress to run a request, on the local backend server or on that of a peer.
struct RunAttempt {
    std::uint64_t claim { 0 };
    std::optional<std::uint64_t> backendRun; // on the local backend server; unset: granted to the claimer
    PeerIdentity claimer;
    Endpoint claimerAddress;
    // The claimer's last message about this claim, or the time since which it is expected to send.
    std::chrono::steady_clock::time_point lastHeard;
    bool bodyEndSent { false };
};

// A request from the HTTP edge that the broker has not finished.
struct CallerRequest {
    RequestDescription description;
    HttpRequestHead head;
    std::chrono::steady_clock::time_point arrived;
    RequestBodyBuffer body;
    bool placed { false }; // the request was passed to placement
    bool callerDone { false }; // the caller is gone, or its answer has ended
    std::optional<RunAttempt> attempt;
    std::shared_ptr<AnswerStream> answer; // of the run of answerOwner
    std::uint64_t answerOwner { 0 }; // the request whose run is shared; without sharing, this one
};

}
