#include "ExchangeNetwork.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;
using namespace std::chrono_literals;

namespace {

// Ends the members of the first zone that read the platform, at most `count` of them.
std::size_t endReaders(ExchangeNetwork& network, std::size_t count)
{
    std::size_t ended = 0;
    for (std::size_t index = 0; index < network.size() && ended < count; ++index) {
        ExchangeNetwork::Member& member = network.member(index);
        if (member.alive && member.exchange->node().isReader() && member.availabilityZone == "z0") {
            member.alive = false;
            ++ended;
        }
    }
    return ended;
}

}

// Guards against subscribers that wait for a reader that is gone while the instance list still names it.
TEST_CASE("versions reach every process within 5 s after one reader died")
{
    ExchangeNetwork network(80, 40);
    network.publishConfiguration(1, 2);
    network.run(4s);
    REQUIRE(endReaders(network, 1) == 1);
    network.publishConfiguration(2, 3);
    network.run(5s);
    CHECK(network.membersWithout(2).empty());
}

TEST_CASE("versions reach every process within 13 s after both readers of a zone died")
{
    ExchangeNetwork network(80, 40);
    network.publishConfiguration(1, 2);
    network.run(4s);
    REQUIRE(endReaders(network, 2) == 2);
    network.publishConfiguration(2, 3);
    network.run(13s);
    CHECK(network.membersWithout(2).empty());
}

// Guards against calls that grow with the fleet: 2,000 calls a second are shared by 70,000 processes.
TEST_CASE("only the readers call the platform once the instance list is known")
{
    ExchangeNetwork network(120, 40);
    network.publishConfiguration(1, 2);
    network.run(10s);
    const std::uint64_t before = network.platformCalls;
    network.run(20s);
    // Three zones with two readers, each with a watch of 1 s and one of 2 s.
    CHECK(network.platformCalls - before <= 3 * 2 * (21 + 11));
}
