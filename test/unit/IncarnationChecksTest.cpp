// Guarantees P3, P4 and P9 of docs/promises.md: each caller gets the complete answer to its own request (P3), a request
// that was answered with outcome not-run did not run (P4), and connections that go silent permanently are detected
// (P9).

#include "BrokerNetwork.h"
#include "EchoScript.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

// Guards against messages of an earlier incarnation of a peer that are applied to requests granted to its current one.
TEST_CASE("messages from another incarnation than the view lists are dropped and counted")
{
    RunCounts runs;
    BrokerNetwork network({ silentScript(), echoScript(runs, true) }, 1);
    network.agents[0].broker->startDraining(network.now());
    network.transfer = [](BrokerNetwork::Message message) {
        std::vector<BrokerNetwork::Message> sent;
        if (message.content.has_answer_body()) {
            sent.push_back(message);
            sent.back().content.mutable_sender()->set_incarnation(0);
            sent.back().content.mutable_answer_body()->set_data("stale");
        }
        sent.push_back(std::move(message));
        return sent;
    };
    const std::uint64_t request = network.submit(0, "GET", "/layout/1/100");
    REQUIRE(network.runToEnd(0, request));
    CHECK(network.caller(0, request).complete == true);
    CHECK(network.caller(0, request).body == echoAnswer("/layout/1/100", ""));
    CHECK(network.drops(0, "wrong_incarnation") == 1);
}

// Guards against a request that waits indefinitely for a restarted peer, which has lost its state, and against the
// outcome not-run for it: the peer may have run it.
TEST_CASE("a request granted to a peer that restarted ends with an unknown outcome")
{
    BrokerNetwork network({ silentScript(), silentScript() }, 1);
    network.agents[0].broker->startDraining(network.now());
    const std::uint64_t request = network.submit(0, "POST", "/corrections/1", "nick");
    REQUIRE(network.runUntilTrue([&] { return network.agents[1].backend->accepted() == 1; }));
    network.publish(2);
    REQUIRE(network.runToEnd(0, request));
    CHECK(network.caller(0, request).header("Chicoryferry-Outcome") == "unknown");
}

// Guards against an agent that acts on messages of unknown senders.
TEST_CASE("messages from a sender that the view does not list are dropped and counted")
{
    RunCounts runs;
    BrokerNetwork network({ echoScript(runs, true) }, 1);
    wire::PeerMessage message;
    message.mutable_sender()->set_instance("stranger");
    message.mutable_grant()->set_request(1);
    network.agents[0].broker->messageReceived(network.now(), message);
    message.mutable_sender()->set_instance("job-0");
    network.agents[0].broker->messageReceived(network.now(), message);
    CHECK(network.drops(0, "unknown_peer") == 1);
    CHECK(network.drops(0, "own_message") == 1);
    CHECK(network.agents[0].backend->accepted() == 0);
}
