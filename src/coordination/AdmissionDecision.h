#pragma once

#include "protocol/Endpoint.h"

#include <cstdint>
#include <variant>

namespace chicoryferry {

// What an agent does with a packet that it received in an envelope.

// Pass the packet to the TCP stack.
struct DeliverPacket { };

// Add the flow to the flow table as half-open, then pass its first packet to the TCP stack.
struct AdmitFlow {
    std::uint64_t serviceId { 0 };
};

// Forward the envelope, whose header has been updated, to the next candidate.
struct ForwardPacket {
    Endpoint destination;
    // The flow is half-open here but owned by another host: remove it without sending a packet.
    bool removeHalfOpen { false };
};

enum class AdmissionDrop {
    UnknownPeer, // the sender is not a listed balancer or agent
    WrongIncarnation, // addressed to another incarnation of this agent
    WrongService, // the service does not exist, or its address differs from the packet's destination
    NotSelected, // first packet for a service that only the sender's newer configuration assigns to this host
    FlowUnknown, // no candidate holds the flow, but another host may still own it
};

struct DropPacket {
    AdmissionDrop reason { AdmissionDrop::FlowUnknown };
    // See ForwardPacket.
    bool removeHalfOpen { false };
};

enum class AdmissionRefusal {
    RefusedDraining,
    RefusedFull,
    RefusedNotSelected, // no candidate serves the caller
    FlowUnknown, // the flow has been unknown for so long that no host can own it
};

// Answer the packet with a reset.
struct ResetFlow {
    AdmissionRefusal reason { AdmissionRefusal::FlowUnknown };
};

using AdmissionDecision = std::variant<DeliverPacket, AdmitFlow, ForwardPacket, DropPacket, ResetFlow>;

}
