#include "ExchangeNetwork.h"

#include "protocol/ConfigurationDocument.h"
#include "state/ConfigurationView.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;
using namespace std::chrono_literals;

// Guards against a newcomer that puts an outdated document of a stale platform in force although its peers know
// better, and against one that takes its missing history for complete (P5).
TEST_CASE("a new process takes the version and the history of its peers over a stale platform's")
{
    ExchangeNetwork network(6, 6);
    network.publishConfiguration(1, 2);
    network.run(4s);
    network.publishConfiguration(2, 3);
    network.run(4s);
    network.publishConfiguration(3, 4);
    network.run(4s);
    REQUIRE(network.membersWithout(3).empty());
    network.staleVersion = 1;

    ExchangeNetwork::Member& newcomer = network.add(6, false);
    for (int step = 0; step < 100; ++step) {
        network.run(50ms);
        const std::uint64_t version = newcomer.configurationVersion();
        REQUIRE((version == 0 || version == 3));
    }
    REQUIRE(newcomer.configurationVersion() == 3);
    CHECK(newcomer.exchange->store().historyComplete(network.now()));
    const auto history = newcomer.exchange->view()->history();
    REQUIRE(history.size() == 2);
    CHECK(history[0]->version == 2);
    CHECK(history[0]->hosts.size() == 3);
    CHECK(history[1]->version == 1);
    CHECK(history[1]->hosts.size() == 2);
}

TEST_CASE("a process that is told of its peers gets everything from them while the platform is down")
{
    ExchangeNetwork network(6, 6);
    network.publishConfiguration(1, 2);
    network.publishConfiguration(2, 3);
    network.run(4s);
    ExchangeNetwork::Member& newcomer = network.add(6, true);
    network.publishInstances(2);
    newcomer.paused = true;
    network.run(4s);
    newcomer.paused = false;
    network.run(50ms);
    // The newcomer has the list and asks its peers from here on.
    network.outage = true;
    network.run(5s);
    CHECK(newcomer.configurationVersion() == 2);
}

// Guards P5: without version 1 and without a peer, hosts that granted a key may be unknown.
TEST_CASE("a first process that starts at a later version knows its history only after the retention")
{
    ExchangeNetwork network(1, 1);
    network.publishConfiguration(7, 2);
    network.run(3s);
    REQUIRE(network.member(0).configurationVersion() == 7);
    CHECK_FALSE(network.member(0).exchange->store().historyComplete(network.now()));
    CHECK(network.member(0).exchange->store().historyComplete(network.now() + 600s));
}
