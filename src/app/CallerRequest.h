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

// The attempt in progress to run a request, on the own backend server or beside a peer.
struct RunAttempt {
    std::uint64_t claim { 0 };
    std::optional<std::uint64_t> backendRun; // own backend server; unset: granted to the claimer
    PeerIdentity claimer;
    Endpoint claimerAddress;
    std::chrono::steady_clock::time_point lastHeard; // of the claimer, concerning this claim
    bool bodyEndSent { false };
};

// A request from the edge that the broker holds.
struct CallerRequest {
    RequestDescription description;
    HttpRequestHead head;
    std::chrono::steady_clock::time_point arrived;
    RequestBodyBuffer body;
    bool placed { false }; // placement knows the request
    bool callerDone { false }; // the caller is gone, or has its whole answer
    std::optional<RunAttempt> attempt;
    std::shared_ptr<AnswerStream> answer; // of the own run, or of the run of answerOwner
    std::uint64_t answerOwner { 0 }; // the request whose run gives the answer
};

}
