#include "ExchangeNetwork.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;
using namespace std::chrono_literals;

// Guards against the sides of a partition that keep different versions after it has healed, or converge on the lower
// one.
TEST_CASE("the sides of a partition keep their versions and converge on the highest while the platform is unavailable")
{
    ExchangeNetwork network(12, 4);
    network.publishConfiguration(1, 2);
    network.run(4s);
    network.outage = true;
    for (std::size_t index = 4; index < network.size(); ++index) {
        network.member(index).partitionId = 1;
    }
    // The platform serves the first availability zone briefly before it fails there too.
    network.publishConfiguration(2, 3);
    for (std::size_t index = 4; index < network.size(); ++index) {
        network.member(index).paused = true;
    }
    network.outage = false;
    network.run(2s);
    network.outage = true;
    for (std::size_t index = 4; index < network.size(); ++index) {
        network.member(index).paused = false;
    }
    network.run(300s);
    CHECK(network.member(0).configurationVersion() == 2);
    CHECK(network.member(4).configurationVersion() == 1);

    for (std::size_t index = 4; index < network.size(); ++index) {
        network.member(index).partitionId = 0;
    }
    network.run(13s);
    CHECK(network.membersWithout(2).empty());
}
