#pragma once

#include "coordination/PeerIdentity.h"
#include "protocol/Endpoint.h"
#include "state/FlowKey.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace chicoryferry {

// The actions of a leaving agent on a flow that it hands over.

// Send the flow's state to the host. withdrawn: tell the host to discard it instead.
struct SendHandover {
    std::uint64_t handover { 0 };
    FlowKey flow;
    Endpoint peerAddress;
    bool withdrawn { false };
};

// Another host owns the flow: remove it here without sending a packet to the caller.
struct FlowHandedOver {
    FlowKey flow;
};

// No host takes the flow: it stays here.
struct KeepFlow {
    FlowKey flow;
};

using HandoverAction = std::variant<SendHandover, FlowHandedOver, KeepFlow>;
using HandoverActions = std::vector<HandoverAction>;

}
