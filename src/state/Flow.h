#pragma once

#include <cstdint>

namespace chicoryferry {

// Connection state of a flow that this agent owns.
enum class FlowState {
    HalfOpen, // admitted; the caller has not yet completed the handshake
    Open,
    Closed, // both sides have closed; kept only to answer retransmitted packets
};

// A flow that this agent owns.
struct Flow {
    std::uint64_t serviceId { 0 };
    FlowState state { FlowState::HalfOpen };
    // The acknowledgement number that completes the handshake; valid only in state HalfOpen.
    std::uint32_t handshakeAcknowledgement { 0 };
};

}
