#include "ExchangeNetwork.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;
using namespace std::chrono_literals;

// Guards against flow resets based on outdated state: confirmations that were queued in the sockets of a paused process
// must not count as fresh when it reads them.
TEST_CASE("the age of a confirmation read after a pause counts from the request that it answers")
{
    ExchangeNetwork network(4, 4);
    network.publishConfiguration(1, 2);
    network.run(4s);
    std::size_t paused = 0;
    while (network.member(paused).exchange->node().isReader()) {
        ++paused;
    }
    network.member(paused).paused = true;
    const auto pausedAt = network.now();
    // The reader keeps sending confirmations for a while; they are queued for the paused process.
    network.run(4s);
    network.outage = true;
    network.run(56s);
    network.member(paused).paused = false;
    network.run(500ms);
    const auto confirmed = network.member(paused).exchange->node().confirmedAt();
    REQUIRE(confirmed.has_value());
    CHECK(*confirmed <= pausedAt + 6s);
}
