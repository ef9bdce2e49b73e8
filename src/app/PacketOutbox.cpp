#include "app/PacketOutbox.h"

#include "transport/UdpSocket.h"

#include <algorithm>

namespace chicoryferry {

namespace {

// One more buffer than a batch holds, because the socket flushes a full batch only when the next packet is queued.
constexpr std::size_t bufferCount = UdpSocket::batchSize + 1;

}

PacketOutbox::PacketOutbox(UdpSocket& dataSocket, const Endpoint& target)
    : socket(dataSocket)
    , destination(target)
    , buffers(bufferCount)
{
}

void PacketOutbox::send(std::span<const std::uint8_t> packet)
{
    Buffer& buffer = this->buffers[this->next];
    this->next = (this->next + 1) % this->buffers.size();
    const std::size_t length = std::min(packet.size(), buffer.size());
    std::copy_n(packet.begin(), length, buffer.begin());
    this->socket.queue(this->destination, 0, { buffer.data(), length });
}

}
