#include "TcpPair.h"

#include <doctest/doctest.h>
#include <vector>

extern "C" {
#include <lwip/priv/tcp_priv.h>
}

using namespace chicoryferry;

// Guarantee P9 of docs/promises.md: connections that go silent permanently are detected within 40 s. Guards against a
// silently dropped flow that occupies its slot for longer.
TEST_CASE("a connection whose peer is silent ends within 40 s of lwIP's time")
{
    TcpPair pair;
    pair.server.listen(pair.service);
    pair.open();
    constexpr int ticksInFortySeconds = 80;
    for (int tick = 0; tick < ticksInFortySeconds; ++tick) {
        tcp_slowtmr();
        pair.toClient.clear();
    }
    pair.server.poll();
    CHECK(pair.count<TcpEnded>(pair.serverEvents) == 1);
    CHECK(pair.server.connectionCount() == 0);
}

// Guards against keepalive that ends a connection whose peer answers.
TEST_CASE("a peer that answers keeps its idle connection")
{
    TcpPair pair;
    pair.server.listen(pair.service);
    pair.open();
    constexpr int ticksInTenMinutes = 1200;
    for (int tick = 0; tick < ticksInTenMinutes; ++tick) {
        tcp_slowtmr();
        pair.run();
    }
    CHECK(pair.count<TcpEnded>(pair.serverEvents) == 0);
    CHECK(pair.server.connectionCount() == 1);
}

// Guards against a connection limit below the 4,000 connections per agent that the design requires.
TEST_CASE("4,000 connections stay open at once")
{
    TcpPair pair;
    pair.server.listen(pair.service);
    constexpr std::uint16_t connections = 4000;
    for (std::uint16_t index = 0; index < connections; ++index) {
        pair.client.connect({ pair.caller.address, static_cast<std::uint16_t>(10000 + index) }, pair.service);
    }
    pair.run();
    CHECK(pair.server.connectionCount() == connections);
    CHECK(pair.count<TcpConnected>(pair.clientEvents) == connections);
}
