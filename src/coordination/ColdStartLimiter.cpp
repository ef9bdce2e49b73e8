#include "coordination/ColdStartLimiter.h"

#include <algorithm>
#include <cmath>

namespace chicoryferry {

namespace {

// The operators' limit holds for any second. A token bucket would allow twice as much in some. The margin covers a
// first packet that is sent late after it was counted.
constexpr std::chrono::milliseconds window { 1050 };

// Limits outside of this range, in first packets a second, are taken for its ends. The upper one bounds the memory.
constexpr double lowestLimit = 0.01;
constexpr std::size_t highestLimit = 4096;

}

ColdStartLimiter::ColdStartLimiter(TimePoint start)
    : countingSince(start)
{
}

void ColdStartLimiter::update(std::chrono::milliseconds coldRemaining, double startsPerSecond, TimePoint now)
{
    if (coldRemaining.count() <= 0) {
        return;
    }
    if (startsPerSecond > 0) {
        startsPerSecond = std::clamp(startsPerSecond, lowestLimit, static_cast<double>(highestLimit));
    }
    this->limit = this->isLimited(now) && startsPerSecond > 0 ? std::min(this->limit, startsPerSecond)
        : this->isLimited(now)                                ? this->limit
                                                              : startsPerSecond;
    this->coldUntil = std::max(this->coldUntil, now + coldRemaining);
}

void ColdStartLimiter::record(TimePoint now)
{
    while (!this->starts.empty() && (now - this->starts.front() >= window || this->starts.size() >= highestLimit)) {
        this->starts.pop_front();
    }
    this->starts.push_back(now);
}

std::chrono::milliseconds ColdStartLimiter::wait(TimePoint now, std::size_t ahead) const
{
    if (!this->isLimited(now)) {
        return std::chrono::milliseconds(0);
    }
    const auto allowed = static_cast<std::size_t>(std::max(1.0, std::floor(this->limit)));
    // A limit below one start a second is kept by a longer window for one start.
    const auto span = this->limit >= 1
        ? std::chrono::duration_cast<std::chrono::nanoseconds>(window)
        : std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::duration<double>(1 / this->limit));
    TimePoint next = this->countingSince + span;
    const std::size_t position = this->starts.size() + ahead; // of the first packet in question
    if (position >= allowed && position - allowed < this->starts.size()) {
        next = std::max(next, this->starts[position - allowed] + span);
    } else if (position >= allowed) {
        next = std::max(next, now) + span * static_cast<int>((position - this->starts.size()) / allowed);
    }
    next = std::min(next, this->coldUntil);
    return next <= now ? std::chrono::milliseconds(0) : std::chrono::ceil<std::chrono::milliseconds>(next - now);
}

}
