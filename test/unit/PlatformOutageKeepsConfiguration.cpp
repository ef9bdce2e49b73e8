#include "ExchangeNetwork.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;
using namespace std::chrono_literals;

// Guards P8 in a long outage: the version in force must survive it, and the next one must get through after it.
TEST_CASE("an outage of ten minutes changes nothing, and the version published meanwhile follows at once")
{
    ExchangeNetwork network(12, 4);
    network.publishConfiguration(1, 2);
    network.run(4s);
    REQUIRE(network.membersWithout(1).empty());

    network.outage = true;
    network.publishConfiguration(2, 3);
    network.run(600s);
    CHECK(network.membersWithout(1).empty());
    const auto confirmed = network.member(0).exchange->node().confirmedAt();
    REQUIRE(confirmed.has_value());
    // A confirmation that grew younger without the platform would permit resets on outdated knowledge.
    CHECK(network.now() - *confirmed >= 600s - 5s);

    network.outage = false;
    network.run(5s);
    CHECK(network.membersWithout(2).empty());
}
