#pragma once

#include "protocol/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <span>
#include <vector>

namespace chicoryferry {

// One datagram received; the bytes stay valid until the next receive().
struct ReceivedDatagram {
    Endpoint source;
    std::span<const std::uint8_t> bytes;
};

// A non-blocking UDP socket that receives and sends in batches (recvmmsg, sendmmsg). Used from one thread only.
// Allocates no memory after construction.
class UdpSocket {
public:
    // Maximum number of datagrams in one batch.
    static constexpr std::size_t batchSize = 64;
    // Buffer size for each datagram received. Longer datagrams would be truncated and must not be sent; envelopes are
    // shorter.
    static constexpr std::size_t datagramBytes = 4096;

    // Binds the endpoint (port 0: chosen by the kernel). Throws UserError when it cannot be bound.
    explicit UdpSocket(const Endpoint&);
    ~UdpSocket();
    UdpSocket(const UdpSocket&) = delete;
    UdpSocket& operator=(const UdpSocket&) = delete;

    int descriptor() const { return this->socketDescriptor; }

    // The bound address.
    Endpoint address() const { return this->boundAddress; }

    // Receives up to one batch without blocking; empty when nothing is pending.
    std::span<const ReceivedDatagram> receive();

    // Space for the header of the next datagram to be queued.
    std::span<std::uint8_t> headerSpace();

    // Queues a datagram of headerLength bytes of headerSpace() followed by the payload, which must stay unchanged until
    // the next flush(). Flushes first when a batch is full.
    void queue(const Endpoint& destination, std::size_t headerLength, std::span<const std::uint8_t> payload);

    // Sends the queued datagrams. Those that the kernel refuses are counted in dropped().
    void flush();

    // Datagrams that the kernel refused since construction.
    std::uint64_t dropped() const { return this->droppedCount; }

private:
    struct Buffers;

    int socketDescriptor;
    Endpoint boundAddress;
    std::unique_ptr<Buffers> buffers;
    std::size_t queuedCount { 0 };
    std::uint64_t droppedCount { 0 };
};

}
