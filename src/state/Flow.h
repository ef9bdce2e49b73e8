#pragma once

#include <cstdint>

namespace chicoryferry {

// How far a flow of this agent has come.
enum class FlowState {
    HalfOpen, // admitted; the caller has not completed the handshake
    Open,
    Closed, // both sides have closed; kept only to answer repeated packets
};

// A flow that this agent owns.
struct Flow {
    std::uint64_t serviceId { 0 };
    FlowState state { FlowState::HalfOpen };
    // The acknowledgement number that completes the handshake; only with HalfOpen.
    std::uint32_t handshakeAcknowledgement { 0 };
};

}
