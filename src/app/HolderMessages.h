#pragma once

#include "messages.pb.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace chicoryferry {

struct CallerRequest;

// Messages from the holder of a request to the claimer that runs it.

// Includes the part of the body that has been received, and marks it as sent.
wire::PeerMessage makeGrant(CallerRequest&, std::uint64_t claim, std::chrono::milliseconds remainingDeadline);

// offset: of the first byte of data in the whole body; last: the body is complete.
wire::PeerMessage makeRequestBody(
    std::uint64_t request, std::uint64_t claim, std::uint64_t offset, std::string data, bool last);

wire::PeerMessage makeAnswerCredit(std::uint64_t request, std::uint64_t claim, std::size_t bytes);

wire::PeerMessage makeCancel(std::uint64_t request, std::uint64_t claim, const std::string& reason);

}
