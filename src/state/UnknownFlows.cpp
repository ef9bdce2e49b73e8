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
    // Forgotten flows leave outdated entries in the order, so its length is what bounds memory.
    if (this->order.size() < this->limit) {
        this->firstSeen.emplace(key, now);
        this->order.emplace_back(now, key);
    }
    return std::chrono::milliseconds(0);
}

void UnknownFlows::forget(const FlowKey& key) { this->firstSeen.erase(key); }

void UnknownFlows::expire(TimePoint now)
{
    while (!this->order.empty() && now - this->order.front().first >= this->expiry) {
        const auto found = this->firstSeen.find(this->order.front().second);
        if (found != this->firstSeen.end() && found->second == this->order.front().first) {
            this->firstSeen.erase(found);
        }
        this->order.pop_front();
    }
}

}
