#pragma once

#include "coordination/RequestDescription.h"
#include "protocol/Endpoint.h"
#include "protocol/HttpHead.h"

#include <cstdint>
#include <string>

namespace chicoryferry {

class ConfigurationView;

// A request that the configuration does not admit.
struct RouteFault {
    unsigned status { 503 }; // 0: no fault
    const char* reason { "" };
};

// Describes a request for placement: route, caller group and idempotency key. bodyRetained and fingerprint are left to
// the time when the body is known. view may be null.
RouteFault describeRequest(const ConfigurationView* view, const std::string& service, const Endpoint& caller,
    const HttpRequestHead&, RequestDescription&);

// Hash of method, target and body length, which tells the reuse of an idempotency key for another request.
std::uint64_t requestFingerprint(const HttpRequestHead&, std::uint64_t bodyBytes);

}
