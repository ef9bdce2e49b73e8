#pragma once

#include "protocol/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace chicoryferry {

struct HttpGetAnswer {
    int status { 0 };
    std::string body;
};

// Sends one GET request over a new connection and blocks until the answer is complete. Throws UserError with the step
// and the peer when the peer cannot be reached, does not answer within the timeout, or sends a body that is truncated
// or larger than maximumBytes.
HttpGetAnswer httpGet(
    const Endpoint&, const std::string& target, std::size_t maximumBytes, std::chrono::milliseconds timeout);

}
