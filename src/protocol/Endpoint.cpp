#include "protocol/Endpoint.h"

#include "support/UserError.h"

#include <arpa/inet.h>
#include <charconv>
#include <fmt/format.h>

namespace chicoryferry {

std::uint32_t parseAddress(std::string_view text)
{
    in_addr parsed {};
    if (inet_pton(AF_INET, std::string(text).c_str(), &parsed) != 1) {
        throw UserError("parse address", std::string(text), "not an IPv4 address (expected a.b.c.d)");
    }
    return ntohl(parsed.s_addr);
}

Endpoint parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        throw UserError("parse endpoint", std::string(text), "not an endpoint (expected a.b.c.d:port)");
    }
    const auto portText = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc() || end != portText.data() + portText.size()) {
        throw UserError("parse endpoint", std::string(text), "not a port (expected 0 to 65535)");
    }
    return { parseAddress(text.substr(0, colon)), port };
}

std::string formatAddress(std::uint32_t address)
{
    return fmt::format("{}.{}.{}.{}", address >> 24U, (address >> 16U) & 255U, (address >> 8U) & 255U, address & 255U);
}

std::string formatEndpoint(const Endpoint& endpoint)
{
    return fmt::format("{}:{}", formatAddress(endpoint.address), endpoint.port);
}

}
