#include "TcpPair.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

// Guards against lost, repeated or reordered bytes between two stacks.
TEST_CASE("a connection transfers bytes in both directions and closes gracefully")
{
    TcpPair pair;
    pair.server.listen(pair.service);
    const std::uint64_t connection = pair.open();
    REQUIRE(pair.count<TcpConnected>(pair.clientEvents) == 1);
    REQUIRE(pair.accepted != 0);

    std::string sent(300000, ' ');
    for (std::size_t index = 0; index < sent.size(); ++index) {
        sent[index] = static_cast<char>('a' + index % 23);
    }
    std::string received;
    std::size_t offset = 0;
    while (received.size() < sent.size()) {
        offset += pair.server.write(pair.accepted, std::string_view(sent).substr(offset));
        pair.run();
        received += TcpPair::take(pair.client, connection);
    }
    CHECK(received == sent);
    CHECK(pair.client.write(connection, "request") == 7);
    pair.run();
    CHECK(TcpPair::take(pair.server, pair.accepted) == "request");

    pair.server.write(pair.accepted, "last");
    pair.server.close(pair.accepted);
    pair.run();
    CHECK(TcpPair::take(pair.client, connection) == "last");
    CHECK(pair.count<TcpPeerClosed>(pair.clientEvents) == 1);
    pair.client.close(connection);
    pair.run();
    CHECK(pair.count<TcpEnded>(pair.clientEvents) == 0);
    CHECK(pair.server.connectionCount() == 0);
    CHECK(pair.client.flows().empty());
}

// Guards against a stack that buffers more than the receive window for a slow reader.
TEST_CASE("unread bytes throttle the sender")
{
    TcpPair pair;
    pair.server.listen(pair.service);
    const std::uint64_t connection = pair.open();
    const std::string block(65536, 'x');
    std::size_t written = 0;
    for (int round = 0; round < 10; ++round) {
        written += pair.client.write(connection, block);
        pair.run();
    }
    CHECK(pair.server.readable(pair.accepted).size() <= 65535);
    CHECK(written <= 2 * 65535);
    std::size_t taken = 0;
    while (taken < written) {
        const std::size_t count = TcpPair::take(pair.server, pair.accepted).size();
        taken += count;
        pair.run();
        if (count == 0) {
            break;
        }
    }
    CHECK(taken == written);
}
