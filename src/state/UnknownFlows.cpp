#include "state/UnknownFlows.h"

namespace chicoryferry {

UnknownFlows::UnknownFlows(std::size_t maximum, std::chrono::milliseconds expiryTime)
    : limit(maximum)
    , expiry(expiryTime)
{
}

std::chrono::milliseconds UnknownFlows::record(TimePoint now, const FlowKey& key)
{
    this->expire(now);
    const auto found = this->firstSeen.find(key);
    if (found != this->firstSeen.end()) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - found->second);
    }
    // Forgotten flows leave outdated entries in the insertion order, so its length is checked to limit memory use.
    if (this->insertionOrder.size() < this->limit) {
        this->firstSeen.emplace(key, now);
        this->insertionOrder.emplace_back(now, key);
    }
    return std::chrono::milliseconds(0);
}

void UnknownFlows::forget(const FlowKey& key) { this->firstSeen.erase(key); }

void UnknownFlows::expire(TimePoint now)
{
    while (!this->insertionOrder.empty() && now - this->insertionOrder.front().first >= this->expiry) {
        const auto found = this->firstSeen.find(this->insertionOrder.front().second);
        if (found != this->firstSeen.end() && found->second == this->insertionOrder.front().first) {
            this->firstSeen.erase(found);
        }
        this->insertionOrder.pop_front();
    }
}

}
