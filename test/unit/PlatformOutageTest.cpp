#include "ExchangeNetwork.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;
using namespace std::chrono_literals;

// Guarantee P8 of docs/promises.md: an accepted configuration is in force on every process within 5 s and never
// reverts. Guards against a configuration that is lost in a long outage of the platform, or not replaced by the next
// version after it.
TEST_CASE("a ten-minute outage changes nothing, and a version published during it is applied soon after it")
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
    // A confirmation whose age fell without the platform would permit flow resets based on outdated state.
    CHECK(network.now() - *confirmed >= 600s - 5s);

    network.outage = false;
    network.run(5s);
    CHECK(network.membersWithout(2).empty());
}
