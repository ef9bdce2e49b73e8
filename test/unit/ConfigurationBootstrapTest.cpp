#include "ExchangeNetwork.h"

#include "protocol/ConfigurationDocument.h"
#include "state/ConfigurationView.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;
using namespace std::chrono_literals;

// Guarantee P5 of docs/promises.md: an idempotency key runs at most once. Guards against a new process that treats an
// incomplete history as complete, which could run a key twice, and against one that applies an outdated document of a
// stale platform although its peers have a newer one.
TEST_CASE("a new process prefers the version and the history of its peers to those of a stale platform")
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

    ExchangeNetwork::Member& joiner = network.add(6, false);
    for (int step = 0; step < 100; ++step) {
        network.run(50ms);
        const std::uint64_t version = joiner.configurationVersion();
        REQUIRE((version == 0 || version == 3));
    }
    REQUIRE(joiner.configurationVersion() == 3);
    CHECK(joiner.exchange->store().historyComplete(network.now()));
    const auto history = joiner.exchange->view()->history();
    REQUIRE(history.size() == 2);
    CHECK(history[0]->version == 2);
    CHECK(history[0]->hosts.size() == 3);
    CHECK(history[1]->version == 1);
    CHECK(history[1]->hosts.size() == 2);
}

// Guards against a new process that depends on the platform although its peers have the configuration.
TEST_CASE("a process with the instance list gets the configuration from its peers while the platform is unavailable")
{
    ExchangeNetwork network(6, 6);
    network.publishConfiguration(1, 2);
    network.publishConfiguration(2, 3);
    network.run(4s);
    ExchangeNetwork::Member& joiner = network.add(6, true);
    network.publishInstances(2);
    joiner.paused = true;
    network.run(4s);
    joiner.paused = false;
    network.run(50ms);
    // The new process has the instance list by now and queries its peers from here on.
    network.outage = true;
    network.run(5s);
    CHECK(joiner.configurationVersion() == 2);
}

// Guarantee P5 of docs/promises.md: an idempotency key runs at most once. Guards against a second run: without version
// 1 and without a peer, the process may not know all hosts that granted a key.
TEST_CASE("the history of a first process that starts at a later version is complete only after the retention period")
{
    ExchangeNetwork network(1, 1);
    network.publishConfiguration(7, 2);
    network.run(3s);
    REQUIRE(network.member(0).configurationVersion() == 7);
    CHECK_FALSE(network.member(0).exchange->store().historyComplete(network.now()));
    CHECK(network.member(0).exchange->store().historyComplete(network.now() + 600s));
}
