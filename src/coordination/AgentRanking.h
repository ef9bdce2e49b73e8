#pragma once

#include "protocol/Endpoint.h"
#include "state/FlowKey.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace chicoryferry {

// Ranks the agents of a service for each flow by rendezvous hashing of the flow's addresses and ports, apart for each
// availability zone. Every balancer computes the same order, so that it can ask for a flow where another balancer has
// placed it. A change of the agents moves few ranks. Answers the load of balancers whose flows move to others.
class AgentRanking {
public:
    using Filter = std::function<bool(const Endpoint&)>;

    void add(const Endpoint& agent, std::string_view availabilityZone);

    // Returns up to `count` agents of the zone and as many of the other zones, each in order of rank. If one of the two
    // has fewer, the other fills up the total of 2 * count. Agents that the filter refuses are left out.
    std::vector<Endpoint> nearest(
        const FlowKey&, std::string_view availabilityZone, std::size_t count, const Filter& accepts) const;

    // Returns the first `count` agents of each zone.
    std::vector<Endpoint> firstOfEachZone(const FlowKey&, std::size_t count) const;

    const std::vector<Endpoint>& agents() const { return this->all; }

private:
    using Zone = std::vector<Endpoint>;
    struct Ranked {
        std::uint64_t rank { 0 };
        Endpoint agent;
    };

    static void rank(const FlowKey&, const Zone&, std::vector<Ranked>& output);
    static std::vector<Endpoint> take(std::vector<Ranked>&, std::size_t count, const Filter& accepts);

    std::map<std::string, Zone, std::less<>> zones;
    std::vector<Endpoint> all;
};

}
