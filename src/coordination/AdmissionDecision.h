#pragma once

#include "protocol/Endpoint.h"

#include <cstdint>
#include <variant>

namespace chicoryferry {

// What an agent does with a packet that reached it in an envelope.

// Pass the packet to the TCP stack.
struct DeliverPacket { };

// Enter the flow in the table as half-open, then pass its first packet to the TCP stack.
struct AdmitFlow {
    std::uint64_t serviceId { 0 };
};

// Send the envelope, whose header is up to date, to the next candidate.
struct PassPacketOn {
    Endpoint destination;
    // The flow is half-open here but belongs to another host: remove it without sending a packet.
    bool removeHalfOpen { false };
};

enum class AdmissionDrop {
    UnknownPeer, // the sender is no listed balancer or agent
    WrongIncarnation, // addressed to another life of this agent
    WrongService, // the service does not exist or has another address
    NotSelected, // a first packet for a service that this host, by its older configuration, does not serve
    FlowUnknown, // no candidate holds the flow; it may still be known elsewhere
};

struct DropPacket {
    AdmissionDrop reason { AdmissionDrop::FlowUnknown };
    // As with PassPacketOn.
    bool removeHalfOpen { false };
};

enum class AdmissionRefusal {
    RefusedDraining,
    RefusedFull,
    RefusedNotSelected, // no candidate serves the caller
    FlowUnknown, // no host has held the flow for long enough to be sure
};

// Answer the packet with a reset.
struct ResetFlow {
    AdmissionRefusal reason { AdmissionRefusal::FlowUnknown };
};

using AdmissionDecision = std::variant<DeliverPacket, AdmitFlow, PassPacketOn, DropPacket, ResetFlow>;

}
