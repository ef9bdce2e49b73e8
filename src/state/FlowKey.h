#pragma once

#include "protocol/Endpoint.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace chicoryferry {

// The addresses and ports that identify a flow.
struct FlowKey {
    Endpoint caller;
    Endpoint service;

    auto operator<=>(const FlowKey&) const = default;
};

// Formats the key for log lines as "caller>service".
inline std::string formatFlow(const FlowKey& key)
{
    return formatEndpoint(key.caller) + ">" + formatEndpoint(key.service);
}

// Hash for containers; flow placement uses a different hash.
struct FlowKeyHash {
    std::size_t operator()(const FlowKey& key) const
    {
        constexpr std::uint64_t multiplier = 0x9E3779B97F4A7C15;
        const std::uint64_t caller = (static_cast<std::uint64_t>(key.caller.address) << 16U) | key.caller.port;
        const std::uint64_t service = (static_cast<std::uint64_t>(key.service.address) << 16U) | key.service.port;
        return std::hash<std::uint64_t>()((caller * multiplier) ^ (service + (caller >> 7U)));
    }
};

}
