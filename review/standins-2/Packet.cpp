#include "Packet.h"

namespace review {

namespace {

constexpr std::size_t headBytes = 32;

void put(Bytes& bytes, std::uint32_t value, int count)
{
    for (int index = 0; index < count; ++index) {
        bytes.push_back(static_cast<std::uint8_t>(value >> (8 * index)));
    }
}

std::uint32_t get(std::span<const std::uint8_t> bytes, std::size_t offset, std::size_t count)
{
    std::uint32_t value = 0;
    for (std::size_t index = 0; index < count; ++index) {
        value |= static_cast<std::uint32_t>(bytes[offset + index]) << (8 * index);
    }
    return value;
}

}

std::string text(std::uint32_t ip)
{
    return std::to_string(ip >> 24U) + "." + std::to_string((ip >> 16U) & 255U) + "."
        + std::to_string((ip >> 8U) & 255U) + "." + std::to_string(ip & 255U);
}

std::string text(const Address& address) { return text(address.ip) + ":" + std::to_string(address.port); }

std::string text(const FlowEnds& flow) { return text(flow.caller) + ">" + text(flow.route); }

Bytes encode(const Packet& packet)
{
    Bytes bytes;
    bytes.reserve(headBytes + packet.data.size());
    put(bytes, packet.sum, 4);
    put(bytes, packet.sequence, 4);
    put(bytes, packet.acknowledgement, 4);
    put(bytes, packet.destination.port, 2);
    put(bytes, packet.destination.ip, 4);
    put(bytes, packet.source.ip, 4);
    put(bytes, packet.source.port, 2);
    put(bytes, 0, 4);
    put(bytes, packet.flags, 1);
    put(bytes, 0, 1);
    put(bytes, static_cast<std::uint32_t>(packet.data.size()), 2);
    bytes.insert(bytes.end(), packet.data.begin(), packet.data.end());
    return bytes;
}

std::optional<Packet> decode(std::span<const std::uint8_t> bytes)
{
    if (bytes.size() < headBytes || get(bytes, 30, 2) != bytes.size() - headBytes) {
        return std::nullopt;
    }
    Packet packet;
    packet.sum = get(bytes, 0, 4);
    packet.sequence = get(bytes, 4, 4);
    packet.acknowledgement = get(bytes, 8, 4);
    packet.destination = { get(bytes, 14, 4), static_cast<std::uint16_t>(get(bytes, 12, 2)) };
    packet.source = { get(bytes, 18, 4), static_cast<std::uint16_t>(get(bytes, 22, 2)) };
    packet.flags = bytes[28];
    packet.data.assign(bytes.begin() + headBytes, bytes.end());
    return packet;
}

std::uint32_t sumOf(const Packet& packet)
{
    Packet covered = packet;
    covered.sum = 0;
    covered.flags = static_cast<std::uint8_t>(packet.flags & ~Packet::bounced);
    std::uint32_t sum = 2166136261U;
    for (const std::uint8_t byte : encode(covered)) {
        sum = (sum ^ byte) * 16777619U;
    }
    return sum == 0 ? 1 : sum;
}

}
