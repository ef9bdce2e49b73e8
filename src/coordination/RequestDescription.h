#pragma once

#include "protocol/Endpoint.h"
#include "protocol/Route.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chicoryferry {

// Properties of a request that placement depends on.
struct RequestDescription {
    std::uint64_t request { 0 }; // unique within the holder's incarnation
    std::string service;
    std::string callerGroup;
    Endpoint caller;
    std::string method;
    std::string target;
    Route route;
    std::optional<std::string> idempotencyKey;
    std::uint64_t fingerprint { 0 }; // hash of method, target and body length; detects a key reused for another request
    bool bodyRetained { true }; // the whole body is buffered, so that the request can be sent again
};

}
