#include "coordination/RendezvousRanking.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <xxhash.h>

namespace chicoryferry {

namespace {

// Maps a hash to the open interval (0, 1) through its upper 53 bits, the precision of a double.
double unitInterval(std::uint64_t hash)
{
    constexpr double step = 1.0 / 9007199254740993.0; // 1 / (2^53 + 1)
    return (static_cast<double>(hash >> 11U) + 1.0) * step;
}

bool ranksBefore(const RankedHost& left, const RankedHost& right)
{
    return left.score != right.score ? left.score > right.score : left.hash < right.hash;
}

}

std::uint64_t hostHash(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

std::uint64_t flowHash(const Endpoint& caller, const Endpoint& service)
{
    const std::array<std::uint32_t, 4> words { caller.address, service.address, caller.port, service.port };
    return XXH3_64bits(words.data(), sizeof(words));
}

std::uint64_t keyHash(std::string_view service, std::string_view key)
{
    return XXH3_64bits_withSeed(key.data(), key.size(), XXH3_64bits(service.data(), service.size()));
}

std::size_t rankHosts(std::uint64_t key, std::span<RankedHost> hosts, std::size_t count)
{
    for (RankedHost& host : hosts) {
        const std::uint64_t mixed = XXH3_64bits_withSeed(&host.hash, sizeof(host.hash), key);
        // -weight / ln(u) maps uniform values to weighted scores that need no renormalization when the set changes.
        host.score = -host.weight / std::log(unitInterval(mixed));
    }
    const std::size_t ranked = std::min(count, hosts.size());
    std::partial_sort(hosts.begin(), hosts.begin() + static_cast<std::ptrdiff_t>(ranked), hosts.end(), ranksBefore);
    return ranked;
}

}
