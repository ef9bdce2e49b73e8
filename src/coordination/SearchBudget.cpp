#include "coordination/SearchBudget.h"

#include <algorithm>

namespace chicoryferry {

namespace {

// Share of the link that is left over at the users' peak load, where packets of flows take up to a third of it.
constexpr double linkShare = 0.1;

// A question and its answer: 45 and 90 bytes of message, and 28 bytes of UDP and IP headers each.
constexpr double bytesPerAgent = 200;

// The budget of this time can be used at once. Callers repeat a packet after 200 ms.
constexpr double burstSeconds = 0.2;

double burst(double rate) { return rate * burstSeconds; }

}

SearchBudget::SearchBudget(double bytesPerSecond)
    : rate(bytesPerSecond * linkShare)
    , available(burst(this->rate))
{
}

bool SearchBudget::take(std::size_t agents, TimePoint now)
{
    return this->takeBytes(static_cast<double>(agents) * bytesPerAgent, now);
}

bool SearchBudget::takeBytes(double bytes, TimePoint now)
{
    const double limit = burst(this->rate);
    const double elapsed = std::chrono::duration<double>(now - this->updatedAt).count();
    this->available = std::min(limit, this->available + elapsed * this->rate);
    this->updatedAt = now;
    // A search whose cost exceeds the burst is allowed once the budget is full.
    if (this->available < std::min(bytes, limit)) {
        return false;
    }
    this->available -= bytes;
    return true;
}

}
