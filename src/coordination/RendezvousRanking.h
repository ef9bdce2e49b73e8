#pragma once

#include "protocol/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace chicoryferry {

// One host to rank.
struct RankedHost {
    std::uint64_t hash { 0 }; // hostHash() of the name
    double weight { 1 };
    std::uint32_t index { 0 }; // the caller's own reference
    double score { 0 }; // set by rankHosts()
};

// Hash of a host's name for ranking.
std::uint64_t hostHash(std::string_view name);

// Hash of a TCP flow's addresses and ports; the same in every process.
std::uint64_t flowHash(const Endpoint& caller, const Endpoint& service);

// Hash of an idempotency key.
std::uint64_t keyHash(std::string_view service, std::string_view key);

// Sorts the `count` best hosts for the key to the front, best first, by weighted rendezvous hashing: each host is first
// for a share of the keys in proportion to its weight, and a change of the set moves only the keys of the hosts that
// joined or left. Returns min(count, hosts.size()). No allocation.
std::size_t rankHosts(std::uint64_t key, std::span<RankedHost> hosts, std::size_t count);

}
