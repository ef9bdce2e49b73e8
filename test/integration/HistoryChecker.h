#pragma once

#include "CallHistory.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chicoryferry::integration {

// Checks a call history against the run records of all backend servers and returns the violations of guarantees P2 to
// P5 of docs/promises.md:
// - isolation (P2): a request runs at, and is answered by, the service that it was sent to;
// - answer integrity (P3): a complete answer has the length and content that belong to the request, and an incomplete
//   one is a prefix of them;
// - not run (P4): a request that was answered with outcome not-run did not run, and a refusal states its outcome;
// - at most once (P5): no idempotency key runs twice, and no POST runs twice.
std::vector<std::string> checkHistory(const std::vector<Call>&, const nlohmann::json& runs);

}
