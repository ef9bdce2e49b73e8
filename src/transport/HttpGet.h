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

// Asks once over a connection of its own and blocks until the answer is complete. Throws UserError with the step and
// the peer when it cannot be reached, answers later than the timeout, or with a body that is truncated or larger than
// maximumBytes.
HttpGetAnswer httpGet(
    const Endpoint&, const std::string& target, std::size_t maximumBytes, std::chrono::milliseconds timeout);

}
