#pragma once

#include "CallHistory.h"

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace chicoryferry::integration {

// Checks a history against the records of every backend server and returns the violations of
// - isolation (P2): a request runs at, and is answered by, the service that was asked;
// - whole answers (P3): an answer that looks complete has the length and content that belong to the request;
// - not run (P4): a request whose caller was told not-run has no run, and a refusal tells its outcome;
// - at most once (P5): no idempotency key has two runs, and no call without a repeatable method runs twice.
std::vector<std::string> checkHistory(const std::vector<Call>&, const nlohmann::json& runs);

}
