#pragma once

#include "coordination/RunResult.h"
#include "protocol/HttpHead.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace chicoryferry {

// Events that BackendClient reports about a run, one attempt at a request.

// The answer's head arrived.
struct BackendAnswerHead {
    std::uint64_t run { 0 };
    HttpAnswerHead head;
};

// Bytes of the answer's body, within the credit given.
struct BackendAnswerData {
    std::uint64_t run { 0 };
    std::string data;
};

// This many more bytes of the request body were written to the socket, so that as many more may be passed on.
struct BackendBodyWritten {
    std::uint64_t run { 0 };
    std::size_t bytes { 0 };
};

// The run ended; no further events follow. NotRun: no byte of the request can have reached the backend server, or the
// backend server's complete answer said that it shed the request.
struct BackendRunEnd {
    std::uint64_t run { 0 };
    RunResult result;
};

using BackendEvent = std::variant<BackendAnswerHead, BackendAnswerData, BackendBodyWritten, BackendRunEnd>;

}
