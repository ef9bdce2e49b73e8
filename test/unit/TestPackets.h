#pragma once

#include "protocol/Endpoint.h"

#include <cstdint>
#include <vector>

namespace chicoryferry::testing {

// TCP flag bits.
inline constexpr std::uint8_t finish = 0x01;
inline constexpr std::uint8_t synchronize = 0x02;
inline constexpr std::uint8_t reset = 0x04;
inline constexpr std::uint8_t acknowledge = 0x10;

// Returns an IPv4 TCP packet without options, with zero checksums.
inline std::vector<std::uint8_t> makePacket(
    const Endpoint& source, const Endpoint& destination, std::uint8_t flags, std::size_t payload = 0)
{
    std::vector<std::uint8_t> packet(40 + payload);
    const auto put16 = [&](std::size_t offset, std::size_t value) {
        packet[offset] = static_cast<std::uint8_t>(value >> 8U);
        packet[offset + 1] = static_cast<std::uint8_t>(value);
    };
    packet[0] = 0x45;
    put16(2, packet.size());
    packet[8] = 64;
    packet[9] = 6;
    put16(12, source.address >> 16U);
    put16(14, source.address & 0xffffU);
    put16(16, destination.address >> 16U);
    put16(18, destination.address & 0xffffU);
    put16(20, source.port);
    put16(22, destination.port);
    packet[32] = 0x50;
    packet[33] = flags;
    return packet;
}

}
