#include "state/FlowTable.h"

namespace chicoryferry {

const Flow* FlowTable::find(const FlowKey& key) const
{
    const auto found = this->flows.find(key);
    return found == this->flows.end() ? nullptr : &found->second;
}

void FlowTable::put(const FlowKey& key, const Flow& flow)
{
    this->remove(key);
    this->flows.emplace(key, flow);
    this->closedCount += flow.state == FlowState::Closed ? 1 : 0;
}

bool FlowTable::setState(const FlowKey& key, FlowState state)
{
    const auto found = this->flows.find(key);
    if (found == this->flows.end()) {
        return false;
    }
    this->closedCount -= found->second.state == FlowState::Closed ? 1 : 0;
    this->closedCount += state == FlowState::Closed ? 1 : 0;
    found->second.state = state;
    return true;
}

void FlowTable::remove(const FlowKey& key)
{
    const auto found = this->flows.find(key);
    if (found == this->flows.end()) {
        return;
    }
    this->closedCount -= found->second.state == FlowState::Closed ? 1 : 0;
    this->flows.erase(found);
}

void FlowTable::forEach(const std::function<void(const FlowKey&, const Flow&)>& visit) const
{
    for (const auto& [key, flow] : this->flows) {
        visit(key, flow);
    }
}

}
