#pragma once

#include "protocol/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

namespace chicoryferry {

// Why a datagram from the network fabric cannot be routed as a packet.
enum class PacketFault {
    Malformed, // not IPv4, or shorter than its headers
    Fragment, // fragments after the first contain no ports, by which packets are routed
    LengthMismatch, // a length field does not match the datagram's size
    NotTcp,
};

// The metric label of a fault.
std::string_view packetFaultName(PacketFault);

// The fields of an IPv4 TCP packet that routing and admission use, and a view of the bytes they were parsed from.
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

// Parses a datagram that consists of exactly one IPv4 TCP packet (RFC 791, RFC 9293).
std::variant<PacketView, PacketFault> parsePacket(std::span<const std::uint8_t> datagram);

}
