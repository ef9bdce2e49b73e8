#pragma once

#include "state/Flow.h"
#include "state/FlowKey.h"

#include <cstddef>
#include <functional>
#include <unordered_map>

namespace chicoryferry {

// The flows that this agent owns. It is lost with the process, except for flows that are handed over.
class FlowTable {
public:
    // Null when the flow is not held.
    const Flow* find(const FlowKey&) const;

    // Adds the flow or replaces its record.
    void put(const FlowKey&, const Flow&);

    // Returns false when the flow is not held.
    bool setState(const FlowKey&, FlowState);

    void remove(const FlowKey&);

    // Flows held, the closed ones included.
    std::size_t size() const { return this->flows.size(); }

    // Flows that count against the connection limit: the half-open and open ones.
    std::size_t liveCount() const { return this->flows.size() - this->closedCount; }

    void forEach(const std::function<void(const FlowKey&, const Flow&)>&) const;

private:
    std::unordered_map<FlowKey, Flow, FlowKeyHash> flows;
    std::size_t closedCount { 0 };
};

}
