#pragma once

#include "coordination/RequestDescription.h"
#include "protocol/Endpoint.h"
#include "protocol/HttpHead.h"

#include <cstdint>
#include <string>

namespace chicoryferry {

class ConfigurationView;

// Why the configuration does not admit a request.
struct RouteFault {
    unsigned status { 503 }; // 0: no fault
    const char* reason { "" };
};

// Fills in the description of a request for placement: route, caller group and idempotency key. bodyRetained and
// fingerprint are set later, when the body is known. view may be null.
RouteFault describeRequest(const ConfigurationView* view, const std::string& service, const Endpoint& caller,
    const HttpRequestHead&, RequestDescription&);

// Hash of method, target and body length, to detect that an idempotency key is reused for a different request.
std::uint64_t requestFingerprint(const HttpRequestHead&, std::uint64_t bodyBytes);

}
