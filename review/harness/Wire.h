#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace review {

using Bytes = std::vector<std::uint8_t>;

struct Address {
    std::uint32_t ip { 0 }; // host byte order
    std::uint16_t port { 0 };

    auto operator<=>(const Address&) const = default;
};

std::string formatIp(std::uint32_t ip);
std::string formatAddress(const Address&);

// A packet of a flow, as PROTOCOL.md describes it.
struct Packet {
    static constexpr std::uint8_t syn = 2;
    static constexpr std::uint8_t bounced = 8;
    static constexpr std::uint8_t rst = 32;
    static constexpr std::uint8_t ack = 64;
    static constexpr std::uint8_t fin = 128;

    Address source;
    Address destination;
    std::uint32_t sequence { 0 };
    std::uint32_t acknowledgement { 0 };
    std::uint8_t flags { 0 };
    std::string payload;
    bool sumValid { true };
    bool systemReset { false }; // a reset that the system sent: no data and sum 0

    bool has(std::uint8_t flag) const { return (this->flags & flag) != 0; }
};

Bytes encode(const Packet&);
std::optional<Packet> decode(const Bytes&);

}
