#pragma once

#include "messages.pb.h"
#include "protocol/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>

namespace chicoryferry {

class Metrics;

// Sends and receives PeerMessage between processes by address (ZeroMQ over TCP). One bound socket receives from every
// process; one connected socket for each peer sends. While a peer is not connected or its ZeroMQ queue is full, a
// bounded number of messages for it is held for up to 500 ms and then dropped. Only wait() blocks. Used from one thread
// only.
class PeerSocket {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Binds the address (port 0: chosen by the kernel). Throws UserError when it cannot be bound.
    PeerSocket(const Endpoint&, Metrics&);
    ~PeerSocket();
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    Endpoint address() const;

    // Waits at most the timeout until a message arrives, a peer can take a message held for it, or the extra descriptor
    // is readable.
    void wait(std::chrono::milliseconds timeout, int extraDescriptor);

    // The next message received; nothing when there is none. Malformed messages are dropped and counted.
    std::optional<wire::PeerMessage> receive();

    // Sends the message or holds it. Returns false when too many messages are already held for the peer. Drops are
    // counted as queue_full or, for a peer to which no message has been sent yet, as not_connected.
    bool send(TimePoint, const Endpoint& peer, const wire::PeerMessage&);

    // Sends the messages held, drops the outdated ones, and closes idle connections. Call about every 10 ms.
    void maintain(TimePoint);

    std::size_t connections() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
