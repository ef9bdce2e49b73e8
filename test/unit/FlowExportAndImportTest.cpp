#include "TcpPair.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

namespace {

// Connects the client of the pair to the TCP stack of a second agent, as the network does after a handover.
struct ReceivingAgent {
    explicit ReceivingAgent(TcpPair& tcpPair)
        : pair(tcpPair)
    {
    }

    void run()
    {
        for (int round = 0; round < 200; ++round) {
            this->pair.client.poll();
            this->stack.poll();
            if (!this->pair.toServer.empty()) {
                const TcpPair::Packet packet = this->pair.toServer.front();
                this->pair.toServer.pop_front();
                this->stack.input(packet);
            }
            if (!this->pair.toClient.empty()) {
                const TcpPair::Packet packet = this->pair.toClient.front();
                this->pair.toClient.pop_front();
                this->pair.client.input(packet);
            }
        }
    }

    TcpPair& pair;
    TcpStack stack { [this](std::span<const std::uint8_t> packet) {
                        this->pair.toClient.emplace_back(packet.begin(), packet.end());
                    },
        [](const TcpEvent&) {} };
};

TcpFlowState encodeAndDecode(const TcpFlowState& state)
{
    const auto decoded = decodeFlowState(encodeFlowState(state), state.unread);
    REQUIRE(decoded.has_value());
    return *decoded;
}

}

// Guarantee P1 of docs/promises.md: no planned change breaks an established flow. Guards against a connection that
// breaks when the host that holds it is replaced. The flow is exported with no bytes in flight and with received bytes
// that the old agent has not read.
TEST_CASE("an imported flow continues in both directions at the new agent")
{
    TcpPair pair;
    pair.server.listen(pair.service);
    const std::uint64_t connection = pair.open();
    pair.client.write(connection, "first");
    pair.run();
    pair.server.write(pair.accepted, std::string(100000, 'a').substr(0, 60000));
    CHECK(TcpPair::take(pair.server, pair.accepted) == "first");
    CHECK_FALSE(pair.server.exportState(pair.accepted).has_value()); // bytes are in flight
    pair.run();
    TcpPair::take(pair.client, connection);
    pair.run();
    pair.client.write(connection, "second, not read by the old agent");
    pair.run();

    const auto state = pair.server.exportState(pair.accepted);
    REQUIRE(state.has_value());
    ReceivingAgent receiver(pair);
    const auto imported = receiver.stack.importFlow(pair.service, pair.caller, encodeAndDecode(*state));
    REQUIRE(imported.has_value());
    CHECK_FALSE(receiver.stack.importFlow(pair.service, pair.caller, *state).has_value());
    pair.toClient.clear();
    CHECK(pair.server.removeSilently(pair.service, pair.caller));
    CHECK(pair.toClient.empty());

    CHECK(TcpPair::take(receiver.stack, *imported) == "second, not read by the old agent");
    std::string received;
    std::size_t written = 0;
    const std::string answer(200000, 'b');
    while (received.size() < answer.size()) {
        written += receiver.stack.write(*imported, std::string_view(answer).substr(written));
        receiver.run();
        const std::string part = TcpPair::take(pair.client, connection);
        REQUIRE_FALSE((part.empty() && written == answer.size() && received.empty()));
        received += part;
    }
    CHECK((received == answer));
    pair.client.write(connection, "third");
    receiver.run();
    CHECK(TcpPair::take(receiver.stack, *imported) == "third");
    receiver.stack.close(*imported);
    receiver.run();
    CHECK(pair.count<TcpPeerClosed>(pair.clientEvents) == 1);
    CHECK(pair.count<TcpEnded>(pair.clientEvents) == 0);
}

// Guards against a handed-over control block with values that lwIP cannot hold.
TEST_CASE("flow states with invalid values are refused")
{
    TcpFlowState state;
    state.maximumSegmentSize = 1320;
    state.receiveWindow = 65535;
    CHECK(decodeFlowState(encodeFlowState(state), "").has_value());
    CHECK_FALSE(decodeFlowState(encodeFlowState(state), "x").has_value());
    state.maximumSegmentSize = 0;
    CHECK_FALSE(decodeFlowState(encodeFlowState(state), "").has_value());
    state.maximumSegmentSize = 1320;
    state.sendScale = 15;
    CHECK_FALSE(decodeFlowState(encodeFlowState(state), "").has_value());
    CHECK_FALSE(decodeFlowState(std::vector<std::uint32_t>(3, 1), "").has_value());
}
