#include "ExchangeNetwork.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;
using namespace std::chrono_literals;

// Guards against resets on outdated knowledge: confirmations that waited in the sockets of a paused process must not
// count as fresh when it reads them.
TEST_CASE("a confirmation read after a pause counts from the question that it answers")
{
    ExchangeNetwork network(4, 4);
    network.publishConfiguration(1, 2);
    network.run(4s);
    for (std::size_t index = 0; index < network.size(); ++index) {
        network.member(index).paused = true;
    }
    const auto pausedAt = network.now();
    network.run(60s);
    network.outage = true;
    for (std::size_t index = 0; index < network.size(); ++index) {
        network.member(index).paused = false;
    }
    network.run(500ms);
    for (std::size_t index = 0; index < network.size(); ++index) {
        const auto confirmed = network.member(index).exchange->node().confirmedAt();
        REQUIRE(confirmed.has_value());
        CHECK(*confirmed <= pausedAt + 2s);
    }
}
