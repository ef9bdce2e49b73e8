#include "coordination/LoadInterpretation.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>

namespace chicoryferry {

namespace {

// The mean work time of an agent is a moving average of some 16 requests, whose own spread is about this share. Only a
// backend server that is slower by more is distinctly slow.
constexpr double workTolerance = 1.3;

// A wait without end, of a late flow at an agent that is saturated, as far as it can be averaged.
constexpr std::chrono::microseconds longestWait = std::chrono::hours(1);

double milliseconds(std::chrono::nanoseconds duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}

}

void interpretLoads(std::span<CandidateLoad> candidates)
{
    double costSum = 0;
    std::chrono::microseconds waitSum { 0 };
    int known = 0;
    double leastWorkMs = std::numeric_limits<double>::max();
    for (CandidateLoad& candidate : candidates) {
        if (candidate.known) {
            candidate.wait = std::min(candidate.wait, longestWait);
            costSum += candidate.costMs;
            waitSum += candidate.wait;
            ++known;
            leastWorkMs = std::min(leastWorkMs, milliseconds(candidate.meanWork));
        }
    }
    const double meanCost = known > 0 ? costSum / known : 0;
    const auto meanWait = waitSum / std::max(1, known);
    for (CandidateLoad& candidate : candidates) {
        if (!candidate.known) {
            candidate.costMs = meanCost;
            candidate.wait = meanWait;
            continue;
        }
        const double workMs = milliseconds(candidate.meanWork);
        const double trust = candidate.age.count() <= 0 ? 1 : std::exp(-milliseconds(candidate.age) / workMs);
        const auto waitDifference = static_cast<double>((candidate.wait - meanWait).count()) * trust;
        candidate.wait = meanWait + std::chrono::microseconds(static_cast<std::int64_t>(waitDifference));
        candidate.costMs
            = meanCost + (candidate.costMs - meanCost) * trust + std::max(0.0, workMs - workTolerance * leastWorkMs);
    }
}

}
