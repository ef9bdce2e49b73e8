#pragma once

#include "protocol/Endpoint.h"
#include "protocol/Route.h"

#include <cstdint>
#include <optional>
#include <string>

namespace chicoryferry {

// What placement needs to know of a request.
struct RequestDescription {
    std::uint64_t request { 0 }; // unique within the holder's incarnation
    std::string service;
    std::string callerGroup;
    Endpoint caller;
    std::string method;
    std::string target;
    Route route;
    std::optional<std::string> idempotencyKey;
    std::uint64_t fingerprint { 0 }; // hash of method, target and body length; tells a key's reuse for another request
    bool bodyRetained { true }; // the whole body is held, so that the request can be sent again
};

}
