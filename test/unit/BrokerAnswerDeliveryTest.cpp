#include "BrokerNetwork.h"
#include "EchoScript.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

// Guarantee P3 of docs/promises.md: each caller gets the complete answer to its own request. Guards against concurrent
// requests on the local backend server that get each other's answers.
TEST_CASE("requests on the local backend server get their own complete answers")
{
    RunCounts runs;
    BrokerNetwork network({ echoScript(runs, true) }, 2);
    std::map<std::uint64_t, std::string> expected;
    for (int index = 0; index < 8; ++index) {
        const std::string target = "/layout/" + std::to_string(index) + "/" + std::to_string(index * 70000);
        const std::string body = index % 2 == 0 ? "" : std::string(static_cast<std::size_t>(index) * 40000, 'b');
        expected[network.submit(0, body.empty() ? "GET" : "POST", target, body)] = echoAnswer(target, body);
    }
    for (const auto& [request, answer] : expected) {
        REQUIRE(network.runToEnd(0, request));
        const CallerRecord& caller = network.caller(0, request);
        CHECK(caller.complete == true);
        CHECK(caller.head->status == 200);
        CHECK(caller.header("Chicoryferry-Origin") == "job-0");
        CHECK_MESSAGE((caller.body == answer), "the body differs");
    }
    CHECK(network.agents[0].broker->requestsInFlight() == 0);
}

// Guarantee P3 of docs/promises.md: each caller gets the complete answer to its own request. Guards against bodies that
// arrive incomplete from a peer when they are larger than every flow-control window.
TEST_CASE("requests of a draining host run on a peer and get their own complete answers")
{
    RunCounts runs;
    BrokerNetwork network({ silentScript(), echoScript(runs, true) }, 1);
    network.agents[0].broker->startDraining(network.now());
    const std::string body(500000, 'n');
    const std::string large = "/drawing/1/3000000";
    const std::string upload = "/corrections/2/700000";
    const std::uint64_t download = network.submit(0, "GET", large);
    const std::uint64_t post = network.submit(0, "POST", upload, body);
    REQUIRE(network.runToEnd(0, download));
    REQUIRE(network.runToEnd(0, post));
    CHECK(network.caller(0, download).complete == true);
    CHECK_MESSAGE((network.caller(0, download).body == echoAnswer(large, "")), "the body differs");
    CHECK(network.caller(0, download).header("Chicoryferry-Origin") == "job-1");
    CHECK(network.caller(0, post).complete == true);
    CHECK_MESSAGE((network.caller(0, post).body == echoAnswer(upload, body)), "the body differs");
    CHECK(runs[upload] == 1);
    CHECK(network.agents[1].broker->requestsInFlight() == 0);
}

// Guards against unbounded buffering: a caller that reads nothing must not make the agent buffer a whole answer.
TEST_CASE("an answer from a peer is held back while the caller does not read")
{
    RunCounts runs;
    BrokerNetwork network({ silentScript(), echoScript(runs, false) }, 1);
    network.agents[0].broker->startDraining(network.now());
    network.consumeAtOnce = false;
    const std::uint64_t request = network.submit(0, "GET", "/drawing/1/3000000");
    REQUIRE(network.runUntilTrue([&] { return network.caller(0, request).body.size() >= 256UL * 1024; }));
    network.runUntilTrue([] { return false; }, std::chrono::milliseconds(700)); // longer than backendSilence
    CHECK(network.caller(0, request).body.size() == 256UL * 1024);
    for (int round = 0; round < 100; ++round) { // longer than the timeout for a silent peer
        network.skew += std::chrono::milliseconds(50);
        network.step();
    }
    CHECK_FALSE(network.caller(0, request).hasEnded());
    network.consumeAtOnce = true;
    REQUIRE(network.runToEnd(0, request));
    CHECK(network.caller(0, request).complete == true);
    CHECK_MESSAGE((network.caller(0, request).body == echoAnswer("/drawing/1/3000000", "")), "the body differs");
}
