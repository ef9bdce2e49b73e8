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

// A search at all agents is allowed even if its cost exceeds the burst, once the budget is full.
double burst(double rate) { return rate * burstSeconds; }

}

SearchBudget::SearchBudget(double bytesPerSecond)
    : rate(bytesPerSecond * linkShare)
    , available(burst(this->rate))
{
}

void SearchBudget::setLink(double bytesPerSecond) { this->rate = bytesPerSecond * linkShare; }

bool SearchBudget::take(std::size_t agents, TimePoint now)
{
    const double limit = burst(this->rate);
    const double elapsed = std::chrono::duration<double>(now - this->updatedAt).count();
    this->available = std::min(limit, this->available + elapsed * this->rate);
    this->updatedAt = now;
    const double cost = static_cast<double>(agents) * bytesPerAgent;
    if (this->available < std::min(cost, limit)) {
        return false;
    }
    this->available -= cost;
    return true;
}

}
