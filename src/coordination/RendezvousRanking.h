#pragma once

#include "protocol/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace chicoryferry {

struct RankedHost {
    std::uint64_t hash { 0 }; // hostHash() of the name
    double weight { 1 };
    std::uint32_t index { 0 }; // not used by the ranking; identifies the host to the calling code
    double score { 0 }; // set by rankHosts()
};

// Hash of a host's name for ranking.
std::uint64_t hostHash(std::string_view name);

// Hash of a TCP flow's addresses and ports; identical in all processes.
std::uint64_t flowHash(const Endpoint& caller, const Endpoint& service);

// Hash of an idempotency key.
std::uint64_t keyHash(std::string_view service, std::string_view key);

// Moves the `count` highest-ranked hosts for the key to the front, in descending order, by weighted rendezvous hashing:
// each host ranks first for a share of the keys proportional to its weight, and a change of the host set moves only the
// keys of the hosts that were added or removed. Returns min(count, hosts.size()). Allocates no memory.
std::size_t rankHosts(std::uint64_t key, std::span<RankedHost> hosts, std::size_t count);

}
