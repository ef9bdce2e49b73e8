#include "protocol/PacketView.h"

#include <array>

namespace chicoryferry {

namespace {

constexpr std::size_t ipv4HeaderBytes = 20;
constexpr std::size_t tcpHeaderBytes = 20;
constexpr std::uint8_t tcpProtocol = 6;
constexpr std::uint16_t moreFragmentsAndOffset = 0x3fff;
constexpr std::uint8_t finishFlag = 0x01;
constexpr std::uint8_t synchronizeFlag = 0x02;
constexpr std::uint8_t resetFlag = 0x04;
constexpr std::uint8_t acknowledgeFlag = 0x10;

std::uint16_t read16(std::span<const std::uint8_t> bytes, std::size_t offset)
{
    return static_cast<std::uint16_t>((bytes[offset] << 8U) | bytes[offset + 1]);
}

std::uint32_t read32(std::span<const std::uint8_t> bytes, std::size_t offset)
{
    return (std::uint32_t { read16(bytes, offset) } << 16U) | read16(bytes, offset + 2);
}

}

std::string_view packetFaultName(PacketFault fault)
{
    constexpr std::array<std::string_view, 4> names { "malformed", "fragment", "checksum_length", "not_tcp" };
    return names[static_cast<std::size_t>(fault)];
}

std::variant<PacketView, PacketFault> parsePacket(std::span<const std::uint8_t> datagram)
{
    if (datagram.size() < ipv4HeaderBytes || datagram[0] >> 4U != 4) {
        return PacketFault::Malformed;
    }
    const std::size_t ipHeader = static_cast<std::size_t>(datagram[0] & 0x0fU) * 4;
    if (ipHeader < ipv4HeaderBytes || datagram.size() < ipHeader) {
        return PacketFault::Malformed;
    }
    if (read16(datagram, 2) != datagram.size()) {
        return PacketFault::LengthMismatch;
    }
    if ((read16(datagram, 6) & moreFragmentsAndOffset) != 0) {
        return PacketFault::Fragment;
    }
    if (datagram[9] != tcpProtocol) {
        return PacketFault::NotTcp;
    }
    const auto segment = datagram.subspan(ipHeader);
    if (segment.size() < tcpHeaderBytes) {
        return PacketFault::LengthMismatch;
    }
    const std::size_t tcpHeader = static_cast<std::size_t>(segment[12] >> 4U) * 4;
    if (tcpHeader < tcpHeaderBytes || tcpHeader > segment.size()) {
        return PacketFault::LengthMismatch;
    }
    const std::uint8_t flags = segment[13];
    PacketView packet;
    packet.source = { read32(datagram, 12), read16(segment, 0) };
    packet.destination = { read32(datagram, 16), read16(segment, 2) };
    packet.sequenceNumber = read32(segment, 4);
    packet.acknowledgementNumber = read32(segment, 8);
    packet.payloadLength = segment.size() - tcpHeader;
    packet.synchronize = (flags & synchronizeFlag) != 0;
    packet.acknowledge = (flags & acknowledgeFlag) != 0;
    packet.finish = (flags & finishFlag) != 0;
    packet.reset = (flags & resetFlag) != 0;
    packet.bytes = datagram;
    return packet;
}

}
