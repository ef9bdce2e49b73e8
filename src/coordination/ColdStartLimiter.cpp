#include "coordination/ColdStartLimiter.h"

#include <algorithm>
#include <cmath>

namespace chicoryferry {

namespace {

// The operators' limit holds for any second. A token bucket would allow twice as much in some.
constexpr std::chrono::milliseconds window { 1000 };

// Bounds the memory; no limit in use is higher.
constexpr std::size_t maximumStarts = 4096;

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
    this->limit = this->isLimited(now) && startsPerSecond > 0 ? std::min(this->limit, startsPerSecond)
        : this->isLimited(now)                                ? this->limit
                                                              : startsPerSecond;
    this->coldUntil = std::max(this->coldUntil, now + coldRemaining);
}

void ColdStartLimiter::record(TimePoint now)
{
    while (!this->starts.empty() && (now - this->starts.front() >= window || this->starts.size() >= maximumStarts)) {
        this->starts.pop_front();
    }
    this->starts.push_back(now);
}

std::chrono::milliseconds ColdStartLimiter::wait(TimePoint now) const
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
    if (this->starts.size() >= allowed) {
        next = std::max(next, this->starts[this->starts.size() - allowed] + span);
    }
    next = std::min(next, this->coldUntil);
    return next <= now ? std::chrono::milliseconds(0) : std::chrono::ceil<std::chrono::milliseconds>(next - now);
}

}
