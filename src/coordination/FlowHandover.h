#pragma once

#include "coordination/HandoverAction.h"
#include "coordination/PeerIdentity.h"
#include "state/FlowKey.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

class ConfigurationView;

// The leaving agent's side of flow handover: offers a flow to one host after another, in the rank order in which
// balancers will address them, until one accepts it. Performs no I/O and reads no clock.
class FlowHandover {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Messages may be lost, so an unanswered one is resent after this time.
    static constexpr std::chrono::milliseconds repeatInterval { 500 };

    // A host that has not answered within this time is skipped.
    static constexpr std::chrono::milliseconds answerTimeout { 5000 };

    // self: the leaving instance.
    explicit FlowHandover(std::string self);

    void viewChanged(std::shared_ptr<const ConfigurationView>);

    // Starts the handover of a flow that is not pending.
    HandoverActions offer(TimePoint, const FlowKey&);

    // Handles a host's answer to an offered flow.
    HandoverActions answered(TimePoint, const PeerIdentity& from, std::uint64_t handover, bool accepted);

    HandoverActions tick(TimePoint);

    bool isPending(const FlowKey& key) const { return this->pending.contains(key); }
    std::size_t pendingCount() const { return this->pending.size(); }

private:
    struct Target {
        PeerIdentity identity;
        Endpoint peerAddress;
    };

    struct PendingHandover {
        std::uint64_t handover { 0 };
        std::vector<Target> targets; // in rank order; the flow is on offer to the first one
        TimePoint started;
        TimePoint lastSent;
    };

    std::vector<Target> rankedTargets(const FlowKey&) const;
    void sendToFirstTarget(TimePoint, const FlowKey&, PendingHandover&, HandoverActions&);
    // Drops the first target and offers the flow to the next one. withdraw: tell the dropped target to discard the
    // flow. Returns false when no target is left.
    bool tryNextTarget(TimePoint, const FlowKey&, PendingHandover&, bool withdraw, HandoverActions&);

    std::string self;
    std::shared_ptr<const ConfigurationView> view;
    std::unordered_map<FlowKey, PendingHandover, FlowKeyHash> pending;
    std::unordered_map<std::uint64_t, FlowKey> flowByHandover;
    std::uint64_t nextHandover { 1 };
};

}
