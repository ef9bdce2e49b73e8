#include "TcpPair.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

// Guards against a reset of a flow that another agent admitted: a half-open flow must be removed without a packet.
TEST_CASE("a half-open flow is removed without a packet")
{
    TcpPair pair;
    pair.server.listen(pair.service);
    pair.client.connect(pair.caller, pair.service);
    pair.server.input(pair.toServer.front());
    pair.toClient.clear();
    REQUIRE(pair.server.phaseOf(pair.service, pair.caller) == TcpFlowPhase::HalfOpen);
    CHECK(pair.server.halfOpenAcknowledgement(pair.service, pair.caller).has_value());
    CHECK(pair.server.removeSilently(pair.service, pair.caller));
    CHECK(pair.toClient.empty());
    CHECK_FALSE(pair.server.phaseOf(pair.service, pair.caller).has_value());
}

// Guards against an acknowledgement or reset that reveals the removal of an established flow to its caller.
TEST_CASE("an established flow with a delayed acknowledgement is removed without a packet or event")
{
    TcpPair pair;
    pair.server.listen(pair.service);
    const std::uint64_t connection = pair.open();
    pair.client.write(connection, "x");
    pair.server.input(pair.toServer.front());
    pair.toClient.clear();
    CHECK(pair.server.removeSilently(pair.service, pair.caller));
    pair.server.poll();
    CHECK(pair.toClient.empty());
    CHECK(pair.server.connectionCount() == 0);
    CHECK(pair.count<TcpEnded>(pair.serverEvents) == 0);
}

// Guards against two agents that answer a retransmitted SYN with the same sequence number: each would take the other's
// flow for its own.
TEST_CASE("initial sequence numbers of two agents differ")
{
    TcpPair pair;
    pair.server.listen(pair.service);
    TcpStack other([](std::span<const std::uint8_t>) {}, [](const TcpEvent&) {});
    other.listen(pair.service);
    pair.client.connect(pair.caller, pair.service);
    pair.server.input(pair.toServer.front());
    other.input(pair.toServer.front());
    CHECK(pair.server.halfOpenAcknowledgement(pair.service, pair.caller)
        != other.halfOpenAcknowledgement(pair.service, pair.caller));
}
