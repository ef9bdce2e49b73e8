#pragma once

#include "protocol/Endpoint.h"
#include "state/FlowKey.h"

#include <cstdint>
#include <span>

namespace chicoryferry {

// A packet of a flow between a caller and a backend server. The payload is a view of the datagram.
struct FlowPacket {
    Endpoint source;
    Endpoint destination;
    std::uint32_t sequence { 0 };
    std::uint32_t acknowledgement { 0 }; // of an opening packet: the number of earlier transmissions
    bool opens { false };
    bool acknowledges { false };
    bool finishes { false };
    bool resets { false };
    bool returned { false }; // the backend server did not accept the packet and sent it back
    std::span<const std::uint8_t> payload;

    // True for a packet with which a caller opens a flow.
    bool isFirst() const { return this->opens && !this->acknowledges; }

    FlowKey keyFromCaller() const { return { this->source, this->destination }; }
    FlowKey keyFromBackendServer() const { return { this->destination, this->source }; }
};

}
