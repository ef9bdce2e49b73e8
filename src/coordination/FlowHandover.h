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

// The leaving agent's side of handover: asks one host after another to take a flow, in the order in which balancers
// will address them. No input, output or clock.
class FlowHandover {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Messages may be lost, so an unanswered one is repeated after this time.
    static constexpr std::chrono::milliseconds repeatInterval { 500 };

    // A host that has not answered for this long is given up.
    static constexpr std::chrono::milliseconds answerTimeout { 5000 };

    // self: the instance that leaves.
    explicit FlowHandover(std::string self);

    void viewChanged(std::shared_ptr<const ConfigurationView>);

    // Starts the handover of a flow that is not pending.
    HandoverActions offer(TimePoint, const FlowKey&);

    // A host has answered.
    HandoverActions answered(TimePoint, const PeerIdentity& from, std::uint64_t handover, bool accepted);

    HandoverActions tick(TimePoint);

    bool isPending(const FlowKey& key) const { return this->pending.contains(key); }
    std::size_t pendingCount() const { return this->pending.size(); }

private:
    struct Target {
        PeerIdentity identity;
        Endpoint peerAddress;
    };

    struct Pending {
        std::uint64_t handover { 0 };
        std::vector<Target> targets; // the first one is being asked
        TimePoint started;
        TimePoint lastSent;
    };

    std::vector<Target> targetsFor(const FlowKey&) const;
    void ask(TimePoint, const FlowKey&, Pending&, HandoverActions&);
    // Gives up the host that is being asked. Returns false when no host is left.
    bool askNext(TimePoint, const FlowKey&, Pending&, bool withdraw, HandoverActions&);

    std::string self;
    std::shared_ptr<const ConfigurationView> view;
    std::unordered_map<FlowKey, Pending, FlowKeyHash> pending;
    std::unordered_map<std::uint64_t, FlowKey> flowByHandover;
    std::uint64_t nextHandover { 1 };
};

}
