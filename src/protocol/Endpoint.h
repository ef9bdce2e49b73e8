#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace chicoryferry {

// An IPv4 address and port, both in host byte order.
struct Endpoint {
    std::uint32_t address { 0 };
    std::uint16_t port { 0 };

    auto operator<=>(const Endpoint&) const = default;
};

// Parses "a.b.c.d:port". Throws UserError if the text is not an IPv4 address and port.
Endpoint parseEndpoint(std::string_view text);

// Parses "a.b.c.d" into host byte order. Throws UserError when the text is not an IPv4 address.
std::uint32_t parseAddress(std::string_view text);

// Formats as "a.b.c.d:port".
std::string formatEndpoint(const Endpoint&);

// Formats an address in host byte order as "a.b.c.d".
std::string formatAddress(std::uint32_t address);

}
