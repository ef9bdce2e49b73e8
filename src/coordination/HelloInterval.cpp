#include "coordination/HelloInterval.h"

#include <algorithm>
#include <cstdint>

namespace chicoryferry {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds shortestInterval { 250 };

// A load that is older says little about an agent, and an agent that has restarted is known again only after this time.
constexpr milliseconds longestInterval { 1000 };

// Number of agents that are announced to at the shortest interval: 256 announcements and answers a second.
constexpr std::int64_t agentsAtShortestInterval = 64;

// Covers the delay of three answers.
constexpr milliseconds answerMargin { 150 };

}

milliseconds agentHelloInterval(std::size_t agents)
{
    const milliseconds scaled = shortestInterval * static_cast<std::int64_t>(agents) / agentsAtShortestInterval;
    return std::clamp(scaled, shortestInterval, longestInterval);
}

milliseconds loadReportLifetime(std::size_t agents) { return 3 * agentHelloInterval(agents) + answerMargin; }

}
