#pragma once

#include "protocol/Endpoint.h"
#include "transport/TcpStack.h"

#include <array>
#include <cstdint>
#include <span>
#include <vector>

namespace chicoryferry {

class UdpSocket;

// Sends packets through the batches of a UdpSocket. Copies each packet, because its bytes are valid only during the
// call to send() while the socket sends them later.
class PacketOutbox {
public:
    // The socket must outlive this object.
    PacketOutbox(UdpSocket&, const Endpoint& destination);

    // Copies the packet and queues it; UdpSocket::flush() sends it.
    void send(std::span<const std::uint8_t> packet);

private:
    using Buffer = std::array<std::uint8_t, TcpStack::maximumPacketBytes>;

    UdpSocket& socket;
    Endpoint destination;
    std::vector<Buffer> buffers;
    std::size_t next { 0 };
};

}
