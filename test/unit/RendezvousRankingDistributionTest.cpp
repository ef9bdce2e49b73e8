#include "coordination/RendezvousRanking.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace chicoryferry;

namespace {

std::vector<RankedHost> makeHosts(std::size_t count)
{
    std::vector<RankedHost> hosts;
    for (std::uint32_t index = 0; index < count; ++index) {
        hosts.push_back({ hostHash("host-" + std::to_string(index)), 1, index, 0 });
    }
    return hosts;
}

std::uint32_t firstRankedHost(std::uint64_t key, std::vector<RankedHost> hosts)
{
    rankHosts(key, hosts, 1);
    return hosts.front().index;
}

}

// Guards against a ranking that ignores weights, which would overload small hosts.
TEST_CASE("a host ranks first for a share of the flows proportional to its weight")
{
    std::vector<RankedHost> hosts = makeHosts(4);
    hosts[0].weight = 3;
    int first = 0;
    constexpr int flows = 60000;
    for (int flow = 0; flow < flows; ++flow) {
        const std::uint64_t key = flowHash({ 1, static_cast<std::uint16_t>(flow) }, { 2, 80 });
        first += firstRankedHost(key, hosts) == 0 ? 1 : 0;
    }
    CHECK(first > flows * 0.48);
    CHECK(first < flows * 0.52);
}

// Guards against a change of the host set that moves flows between hosts that remain in it.
TEST_CASE("adding a host moves flows only to the new host")
{
    const std::vector<RankedHost> before = makeHosts(6);
    const std::vector<RankedHost> after = makeHosts(7);
    for (std::uint16_t port = 1; port < 5000; ++port) {
        const std::uint64_t key = flowHash({ 7, port }, { 2, 80 });
        const std::uint32_t owner = firstRankedHost(key, after);
        CHECK((owner == 6 || owner == firstRankedHost(key, before)));
    }
}
