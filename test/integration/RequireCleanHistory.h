#pragma once

#include "CallHistory.h"
#include "Cluster.h"
#include "HistoryChecker.h"

#include <doctest/doctest.h>

namespace chicoryferry::integration {

// Fails the test case if checkHistory() finds violations of guarantees P2 to P5 of docs/promises.md; prints at most 20
// of them.
inline void requireCleanHistory(const CallHistory& history, const Cluster& cluster)
{
    constexpr std::size_t reportedViolations = 20;
    const std::vector<std::string> violations = checkHistory(history.calls(), cluster.runs());
    CHECK_MESSAGE(violations.empty(), violations.size(), " violations");
    for (std::size_t index = 0; index < std::min(violations.size(), reportedViolations); ++index) {
        FAIL_CHECK(violations[index]);
    }
}

}
