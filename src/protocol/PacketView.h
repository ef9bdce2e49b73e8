#pragma once

#include "protocol/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

namespace chicoryferry {

// Why a datagram from the fabric is not a routable packet.
enum class PacketFault {
    Malformed, // not IPv4, or shorter than its headers
    Fragment, // fragments carry no ports
    ChecksumLength, // a length field disagrees with the datagram
    NotTcp,
};

// The counter label of a fault.
std::string_view packetFaultName(PacketFault);

// The fields of an IPv4 TCP packet that routing and admission need. Refers to the bytes it was parsed from.
struct PacketView {
    Endpoint source;
    Endpoint destination;
    std::uint32_t sequenceNumber { 0 };
    std::uint32_t acknowledgementNumber { 0 };
    std::size_t payloadLength { 0 }; // bytes after the TCP header
    bool synchronize { false };
    bool acknowledge { false };
    bool finish { false };
    bool reset { false };
    std::span<const std::uint8_t> bytes; // the whole packet

    // True for the first packet of a flow.
    bool isFirst() const { return this->synchronize && !this->acknowledge; }
};

// Parses one datagram as exactly one IPv4 TCP packet (RFC 791, RFC 9293).
std::variant<PacketView, PacketFault> parsePacket(std::span<const std::uint8_t> datagram);

}
