#pragma once

#include "state/FlowKey.h"

#include <chrono>
#include <cstddef>
#include <deque>
#include <unordered_map>

namespace chicoryferry {

// Records when packets of flows without a known owner were first seen, in a table of bounded size.
class UnknownFlows {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // limit: maximum number of flows; further ones are not recorded until older ones expire.
    UnknownFlows(std::size_t limit, std::chrono::milliseconds expiry);

    // Records a packet and returns for how long the flow has been unknown; zero also when the table is full.
    std::chrono::milliseconds record(TimePoint, const FlowKey&);

    void forget(const FlowKey&);

    std::size_t size() const { return this->firstSeen.size(); }

private:
    void expire(TimePoint);

    std::size_t limit;
    std::chrono::milliseconds expiry;
    std::unordered_map<FlowKey, TimePoint, FlowKeyHash> firstSeen;
    std::deque<std::pair<TimePoint, FlowKey>> insertionOrder; // oldest first; may contain flows that were forgotten
};

}
