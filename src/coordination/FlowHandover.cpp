#include "coordination/FlowHandover.h"

#include "coordination/RendezvousRanking.h"
#include "state/ConfigurationView.h"

#include <utility>

namespace chicoryferry {

FlowHandover::FlowHandover(std::string ownInstance)
    : self(std::move(ownInstance))
{
}

void FlowHandover::viewChanged(std::shared_ptr<const ConfigurationView> newView) { this->view = std::move(newView); }

std::vector<FlowHandover::Target> FlowHandover::rankedTargets(const FlowKey& key) const
{
    const Service* service = this->view ? this->view->serviceAt(key.service) : nullptr;
    const CallerGroup* group = this->view ? this->view->callerGroupOf(key.caller.address) : nullptr;
    if (service == nullptr || group == nullptr) {
        return {};
    }
    const std::vector<Host>& hosts = this->view->configuration().hosts;
    std::vector<RankedHost> ranked;
    for (const std::uint32_t index : this->view->hostsFor(*service, *group).hosts) {
        const Host& host = hosts[index];
        if (host.name != this->self && !this->view->isDraining(host)) {
            ranked.push_back({ hostHash(host.name), static_cast<double>(host.slots), index, 0 });
        }
    }
    const std::size_t count = rankHosts(flowHash(key.caller, key.service), ranked, ranked.size());
    std::vector<Target> targets;
    for (std::size_t rank = 0; rank < count; ++rank) {
        const Host& host = hosts[ranked[rank].index];
        targets.push_back({ { host.name, host.incarnation }, host.peerAddress });
    }
    return targets;
}

HandoverActions FlowHandover::offer(TimePoint now, const FlowKey& key)
{
    HandoverActions actions;
    if (this->isPending(key)) {
        return actions;
    }
    PendingHandover entry;
    entry.targets = this->rankedTargets(key);
    if (entry.targets.empty()) {
        actions.emplace_back(KeepFlow { key });
        return actions;
    }
    this->sendToFirstTarget(now, key, this->pending[key] = std::move(entry), actions);
    return actions;
}

void FlowHandover::sendToFirstTarget(
    TimePoint now, const FlowKey& key, PendingHandover& entry, HandoverActions& actions)
{
    entry.handover = this->nextHandover++;
    entry.started = now;
    entry.lastSent = now;
    this->flowByHandover[entry.handover] = key;
    actions.emplace_back(SendHandover { entry.handover, key, entry.targets.front().peerAddress, false });
}

bool FlowHandover::tryNextTarget(
    TimePoint now, const FlowKey& key, PendingHandover& entry, bool withdraw, HandoverActions& actions)
{
    if (withdraw) {
        actions.emplace_back(SendHandover { entry.handover, key, entry.targets.front().peerAddress, true });
    }
    this->flowByHandover.erase(entry.handover);
    entry.targets.erase(entry.targets.begin());
    if (!entry.targets.empty()) {
        this->sendToFirstTarget(now, key, entry, actions);
        return true;
    }
    actions.emplace_back(KeepFlow { key });
    return false;
}

HandoverActions FlowHandover::answered(TimePoint now, const PeerIdentity& from, std::uint64_t handover, bool accepted)
{
    HandoverActions actions;
    const auto found = this->flowByHandover.find(handover);
    if (found == this->flowByHandover.end()) {
        return actions;
    }
    const FlowKey key = found->second;
    PendingHandover& entry = this->pending.at(key);
    if (entry.targets.front().identity != from) {
        return actions;
    }
    if (accepted) {
        actions.emplace_back(FlowHandedOver { key });
        this->flowByHandover.erase(handover);
        this->pending.erase(key);
    } else if (!this->tryNextTarget(now, key, entry, false, actions)) {
        this->pending.erase(key);
    }
    return actions;
}

HandoverActions FlowHandover::tick(TimePoint now)
{
    HandoverActions actions;
    std::vector<FlowKey> unplaced;
    for (auto& [key, entry] : this->pending) {
        if (now - entry.started >= answerTimeout) {
            if (!this->tryNextTarget(now, key, entry, true, actions)) {
                unplaced.push_back(key);
            }
        } else if (now - entry.lastSent >= repeatInterval) {
            entry.lastSent = now;
            actions.emplace_back(SendHandover { entry.handover, key, entry.targets.front().peerAddress, false });
        }
    }
    for (const FlowKey& key : unplaced) {
        this->pending.erase(key);
    }
    return actions;
}

}
