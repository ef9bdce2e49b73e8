#pragma once

#include "state/Flow.h"
#include "state/FlowKey.h"

#include <cstddef>
#include <functional>
#include <unordered_map>

namespace chicoryferry {

// The flows that this agent owns. Kept in memory only: flows that are not handed over are lost when the process ends.
class FlowTable {
public:
    // Null when the flow is not held.
    const Flow* find(const FlowKey&) const;

    // Adds the flow or replaces its record.
    void put(const FlowKey&, const Flow&);

    // Returns false when the flow is not held.
    bool setState(const FlowKey&, FlowState);

    void remove(const FlowKey&);

    // Number of flows, including closed ones.
    std::size_t size() const { return this->flows.size(); }

    // Number of half-open and open flows, which count against the connection limit.
    std::size_t liveCount() const { return this->flows.size() - this->closedCount; }

    void forEach(const std::function<void(const FlowKey&, const Flow&)>&) const;

private:
    std::unordered_map<FlowKey, Flow, FlowKeyHash> flows;
    std::size_t closedCount { 0 };
};

}
