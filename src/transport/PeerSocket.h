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
// process; one connected socket for each peer sends. A bounded number of messages for a peer that is not
// connected is held for 500 ms and then dropped. Only wait() blocks. Used from one thread only.
class PeerSocket {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Binds the address (port 0: chosen by the kernel). Throws UserError when it cannot be bound.
    PeerSocket(const Endpoint&, Metrics&);
    ~PeerSocket();
    PeerSocket(const PeerSocket&) = delete;
    PeerSocket& operator=(const PeerSocket&) = delete;

    Endpoint address() const;

    // Waits for a message, or for the extra descriptor to become readable, at most for the timeout.
    void wait(std::chrono::milliseconds timeout, int extraDescriptor);

    // The next message received; nothing when there is none. Malformed messages are dropped and counted.
    std::optional<wire::PeerMessage> receive();

    // Queues the message. Returns false, and counts the reason, when the peer's queue is full or, for a peer that is
    // not connected yet, when too many messages already wait for the connection.
    bool send(TimePoint, const Endpoint& peer, const wire::PeerMessage&);

    // Sends messages that waited for their connection, and closes idle connections. Call about every 10 ms.
    void maintain(TimePoint);

    std::size_t connections() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
