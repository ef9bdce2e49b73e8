#include "Wire.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::size_t headerBytes = 32;
constexpr std::size_t echoOffset = 24;
constexpr std::size_t flagsOffset = 28;
constexpr std::size_t padOffset = 29;
constexpr std::size_t lengthOffset = 30;

// Only the two ends of a flow know the key.
constexpr std::uint32_t sumKey = 0x9E3779B9U;

std::uint32_t keyedSum(const Bytes& bytes)
{
    std::uint32_t sum = 2166136261U ^ sumKey;
    for (std::size_t index = 4; index < bytes.size(); ++index) {
        std::uint8_t byte = bytes[index];
        if ((index >= echoOffset && index < flagsOffset) || index == padOffset) {
            continue;
        }
        if (index == flagsOffset) {
            byte = static_cast<std::uint8_t>(byte & ~Packet::bounced);
        }
        sum = (sum ^ byte) * 16777619U;
    }
    return sum == 0 ? 1 : sum;
}

void put(Bytes& bytes, std::size_t offset, std::uint32_t value, int count)
{
    for (int index = 0; index < count; ++index) {
        bytes[offset + static_cast<std::size_t>(index)] = static_cast<std::uint8_t>(value >> (8 * index));
    }
}

std::uint32_t get(const Bytes& bytes, std::size_t offset, int count)
{
    std::uint32_t value = 0;
    for (int index = 0; index < count; ++index) {
        value |= static_cast<std::uint32_t>(bytes[offset + static_cast<std::size_t>(index)]) << (8 * index);
    }
    return value;
}

}

std::string formatIp(std::uint32_t ip)
{
    return std::to_string(ip >> 24U) + "." + std::to_string((ip >> 16U) & 255U) + "."
        + std::to_string((ip >> 8U) & 255U) + "." + std::to_string(ip & 255U);
}

std::string formatAddress(const Address& address) { return formatIp(address.ip) + ":" + std::to_string(address.port); }

Bytes encode(const Packet& packet)
{
    Bytes bytes(headerBytes + packet.payload.size());
    std::copy(packet.payload.begin(), packet.payload.end(), bytes.begin() + headerBytes);
    put(bytes, 4, packet.sequence, 4);
    put(bytes, 8, packet.acknowledgement, 4);
    put(bytes, 12, packet.destination.port, 2);
    put(bytes, 14, packet.destination.ip, 4);
    put(bytes, 18, packet.source.ip, 4);
    put(bytes, 22, packet.source.port, 2);
    bytes[flagsOffset] = packet.flags;
    put(bytes, lengthOffset, static_cast<std::uint32_t>(packet.payload.size()), 2);
    put(bytes, 0, keyedSum(bytes), 4);
    return bytes;
}

std::optional<Packet> decode(const Bytes& bytes)
{
    if (bytes.size() < headerBytes || get(bytes, lengthOffset, 2) != bytes.size() - headerBytes) {
        return std::nullopt;
    }
    Packet packet;
    packet.sequence = get(bytes, 4, 4);
    packet.acknowledgement = get(bytes, 8, 4);
    packet.destination = { get(bytes, 14, 4), static_cast<std::uint16_t>(get(bytes, 12, 2)) };
    packet.source = { get(bytes, 18, 4), static_cast<std::uint16_t>(get(bytes, 22, 2)) };
    packet.flags = bytes[flagsOffset];
    packet.payload.assign(bytes.begin() + headerBytes, bytes.end());
    const std::uint32_t sum = get(bytes, 0, 4);
    packet.systemReset = packet.has(Packet::rst) && sum == 0 && packet.payload.empty();
    packet.sumValid = packet.systemReset || sum == keyedSum(bytes);
    return packet;
}

}
