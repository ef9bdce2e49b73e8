#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace review {

using Bytes = std::vector<std::uint8_t>;

struct Address {
    std::uint32_t ip { 0 }; // host byte order
    std::uint16_t port { 0 };

    auto operator<=>(const Address&) const = default;
};

std::string text(std::uint32_t ip);
std::string text(const Address&);

// The two ends of a flow, as its caller sees them.
struct FlowEnds {
    Address caller;
    Address route;

    auto operator<=>(const FlowEnds&) const = default;
};

std::string text(const FlowEnds&);

// A packet of the users' platform: a head of 32 bytes and the data.
struct Packet {
    static constexpr std::uint8_t syn = 2;
    static constexpr std::uint8_t bounced = 8;
    static constexpr std::uint8_t rst = 32;
    static constexpr std::uint8_t ack = 64;
    static constexpr std::uint8_t fin = 128;

    std::uint32_t sum { 0 };
    std::uint32_t sequence { 0 };
    std::uint32_t acknowledgement { 0 };
    Address destination;
    Address source;
    std::uint8_t flags { 0 };
    std::string data;

    bool has(std::uint8_t flag) const { return (this->flags & flag) != 0; }
};

Bytes encode(const Packet&);
std::optional<Packet> decode(std::span<const std::uint8_t>);

// A stand-in for the keyed sum of the users, over all fields that it covers.
std::uint32_t sumOf(const Packet&);

}
