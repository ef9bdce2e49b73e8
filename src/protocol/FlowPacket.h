#pragma once

#include "protocol/Endpoint.h"
#include "state/FlowKey.h"

#include <cstdint>
#include <span>

namespace chicoryferry {

// One packet of a flow whose ends are the caller and the backend server. The payload refers to the datagram.
struct FlowPacket {
    Endpoint source;
    Endpoint destination;
    std::uint32_t sequence { 0 };
    std::uint32_t acknowledgement { 0 }; // on an opening packet: how often it was sent before
    bool opens { false };
    bool acknowledges { false };
    bool finishes { false };
    bool resets { false };
    bool returned { false }; // the backend server did not take it
    std::span<const std::uint8_t> payload;

    // The first packet that a caller sends.
    bool isFirst() const { return this->opens && !this->acknowledges; }

    FlowKey keyFromCaller() const { return { this->source, this->destination }; }
    FlowKey keyFromBackendServer() const { return { this->destination, this->source }; }
};

}
