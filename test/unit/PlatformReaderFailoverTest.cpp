#include "ExchangeNetwork.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;
using namespace std::chrono_literals;

namespace {

// Stops at most `count` of the platform readers in the first zone and returns how many were stopped.
std::size_t stopReaders(ExchangeNetwork& network, std::size_t count)
{
    std::size_t stopped = 0;
    for (std::size_t index = 0; index < network.size() && stopped < count; ++index) {
        ExchangeNetwork::Member& member = network.member(index);
        if (member.alive && member.exchange->node().isReader() && member.availabilityZone == "z0") {
            member.alive = false;
            ++stopped;
        }
    }
    return stopped;
}

}

// Guards against subscribers that wait for a failed reader while the instance list still contains it.
TEST_CASE("versions reach every process within 5 s after one reader fails")
{
    ExchangeNetwork network(80, 40);
    network.publishConfiguration(1, 2);
    network.run(4s);
    REQUIRE(stopReaders(network, 1) == 1);
    network.publishConfiguration(2, 3);
    network.run(5s);
    CHECK(network.membersWithout(2).empty());
}

// Guards against a zone that gets no new versions once all of its readers have failed.
TEST_CASE("versions reach every process within 13 s after both readers of a zone fail")
{
    ExchangeNetwork network(80, 40);
    network.publishConfiguration(1, 2);
    network.run(4s);
    REQUIRE(stopReaders(network, 2) == 2);
    network.publishConfiguration(2, 3);
    network.run(13s);
    CHECK(network.membersWithout(2).empty());
}

// Guards against a platform call rate that grows with the fleet: 70,000 processes share 2,000 calls per second.
TEST_CASE("only the readers call the platform once the instance list is known")
{
    ExchangeNetwork network(120, 40);
    network.publishConfiguration(1, 2);
    network.run(10s);
    const std::uint64_t before = network.platformCalls;
    network.run(20s);
    // Three zones with two readers each; every reader has one watch of 1 s and one of 2 s.
    CHECK(network.platformCalls - before <= 3 * 2 * (21 + 11));
}
