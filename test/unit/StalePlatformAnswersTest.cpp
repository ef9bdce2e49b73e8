#include "ExchangeNetwork.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;
using namespace std::chrono_literals;

// Guards against a process that reverts to an older configuration when the platform serves one.
TEST_CASE("an older version from the platform is refused, counted and requested at a bounded rate")
{
    ExchangeNetwork network(4, 4);
    network.publishConfiguration(1, 2);
    network.publishConfiguration(2, 3);
    network.run(4s);
    REQUIRE(network.membersWithout(2).empty());

    network.staleVersion = 1;
    const std::uint64_t callsBefore = network.platformCalls;
    network.run(20s);
    CHECK(network.membersWithout(2).empty());
    // Two readers ask for two documents, each at most once a second.
    CHECK(network.platformCalls - callsBefore <= 2 * 2 * 21);
    double stale = 0;
    for (std::size_t index = 0; index < network.size(); ++index) {
        stale += network.member(index).metrics.retries("read platform", "stale").Value();
    }
    CHECK(stale > 0);
}

// Guards against a zone that stays behind because its readers' replica of the platform is stale.
TEST_CASE("readers of a stale platform get the newer version from the readers of another zone")
{
    ExchangeNetwork network(8, 4);
    network.publishConfiguration(1, 2);
    network.run(4s);
    for (std::size_t index = 4; index < 8; ++index) {
        network.member(index).partitionId = 1;
    }
    network.publishConfiguration(2, 3);
    network.run(3s);
    REQUIRE(network.membersWithout(2).empty());
    network.staleVersion = 1;
    ExchangeNetwork::Member& newcomer = network.add(4, false);
    newcomer.partitionId = 1;
    network.run(5s);
    CHECK(newcomer.configurationVersion() == 2);
}
