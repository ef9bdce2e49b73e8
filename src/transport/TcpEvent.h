#pragma once

#include "protocol/Endpoint.h"

#include <cstdint>
#include <variant>

namespace chicoryferry {

// Events that a TcpStack reports about a connection. Identifiers are never reused within a stack.

// A listener accepted a connection; the handshake is complete.
struct TcpAccepted {
    std::uint64_t connection { 0 };
    Endpoint local;
    Endpoint remote;
};

// A connection started by TcpStack::connect() is established.
struct TcpConnected {
    std::uint64_t connection { 0 };
};

// Bytes arrived; see TcpStack::readable().
struct TcpReadable {
    std::uint64_t connection { 0 };
};

// The peer acknowledged bytes, so that TcpStack::write() accepts more.
struct TcpWritable {
    std::uint64_t connection { 0 };
};

// The peer sends no further bytes. What it sent before can still be read, and writing still works.
struct TcpPeerClosed {
    std::uint64_t connection { 0 };
};

// The connection ended: reset by the peer, timed out, or never established. The identifier is no longer valid.
struct TcpEnded {
    std::uint64_t connection { 0 };
};

using TcpEvent = std::variant<TcpAccepted, TcpConnected, TcpReadable, TcpWritable, TcpPeerClosed, TcpEnded>;

}
