#include "transport/UdpSocket.h"

#include "protocol/Envelope.h"
#include "support/InternalError.h"
#include "support/UserError.h"
#include "transport/SocketAddress.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace chicoryferry {

namespace {

// Holds the packets that arrive during one scheduling delay at a few hundred thousand packets per second.
constexpr int socketBufferBytes = 4 * 1024 * 1024;

}

// Fixed arrays for one batch in each direction.
struct UdpSocket::Buffers {
    std::array<mmsghdr, batchSize> receiveMessages {};
    std::array<iovec, batchSize> receiveVectors {};
    std::array<sockaddr_in, batchSize> sources {};
    std::array<std::array<std::uint8_t, datagramBytes>, batchSize> datagrams;
    std::array<ReceivedDatagram, batchSize> received;

    std::array<mmsghdr, batchSize> sendMessages {};
    std::array<std::array<iovec, 2>, batchSize> sendVectors {};
    std::array<sockaddr_in, batchSize> destinations {};
    std::array<std::array<std::uint8_t, maximumEnvelopeHeaderBytes>, batchSize> headers;
};

UdpSocket::UdpSocket(const Endpoint& endpoint)
    : socketDescriptor(socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , buffers(std::make_unique_for_overwrite<Buffers>())
{
    internalAssert(this->socketDescriptor >= 0, "open UDP socket", "socket failed");
    setsockopt(this->socketDescriptor, SOL_SOCKET, SO_RCVBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    setsockopt(this->socketDescriptor, SOL_SOCKET, SO_SNDBUF, &socketBufferBytes, sizeof(socketBufferBytes));
    sockaddr_in address = toSocketAddress(endpoint);
    if (bind(this->socketDescriptor, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
        const std::string reason = std::strerror(errno);
        close(this->socketDescriptor);
        throw UserError("bind UDP socket", formatEndpoint(endpoint), reason);
    }
    socklen_t length = sizeof(address);
    getsockname(this->socketDescriptor, reinterpret_cast<sockaddr*>(&address), &length);
    this->boundAddress = toEndpoint(address);
    for (std::size_t index = 0; index < batchSize; ++index) {
        this->buffers->receiveVectors[index] = { this->buffers->datagrams[index].data(), datagramBytes };
        this->buffers->receiveMessages[index].msg_hdr.msg_iov = &this->buffers->receiveVectors[index];
        this->buffers->receiveMessages[index].msg_hdr.msg_iovlen = 1;
        this->buffers->receiveMessages[index].msg_hdr.msg_name = &this->buffers->sources[index];
        this->buffers->sendMessages[index].msg_hdr.msg_iov = this->buffers->sendVectors[index].data();
        this->buffers->sendMessages[index].msg_hdr.msg_iovlen = 2;
        this->buffers->sendMessages[index].msg_hdr.msg_name = &this->buffers->destinations[index];
        this->buffers->sendMessages[index].msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
}

UdpSocket::~UdpSocket() { close(this->socketDescriptor); }

std::span<const ReceivedDatagram> UdpSocket::receive()
{
    for (mmsghdr& message : this->buffers->receiveMessages) {
        message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
    }
    const int count
        = recvmmsg(this->socketDescriptor, this->buffers->receiveMessages.data(), batchSize, MSG_DONTWAIT, nullptr);
    const std::size_t received = count < 0 ? 0 : static_cast<std::size_t>(count);
    for (std::size_t index = 0; index < received; ++index) {
        this->buffers->received[index] = { toEndpoint(this->buffers->sources[index]),
            { this->buffers->datagrams[index].data(), this->buffers->receiveMessages[index].msg_len } };
    }
    return { this->buffers->received.data(), received };
}

std::span<std::uint8_t> UdpSocket::headerSpace()
{
    if (this->queuedCount == batchSize) {
        this->flush();
    }
    return this->buffers->headers[this->queuedCount];
}

void UdpSocket::queue(const Endpoint& destination, std::size_t headerLength, std::span<const std::uint8_t> payload)
{
    if (this->queuedCount == batchSize) {
        this->flush();
    }
    const std::size_t index = this->queuedCount++;
    this->buffers->destinations[index] = toSocketAddress(destination);
    this->buffers->sendVectors[index][0] = { this->buffers->headers[index].data(), headerLength };
    // sendmmsg does not write to the payload; iovec has no const form.
    this->buffers->sendVectors[index][1] = { const_cast<std::uint8_t*>(payload.data()), payload.size() };
}

void UdpSocket::flush()
{
    std::size_t sent = 0;
    while (sent < this->queuedCount) {
        const int count = sendmmsg(this->socketDescriptor, &this->buffers->sendMessages[sent],
            static_cast<unsigned>(this->queuedCount - sent), MSG_DONTWAIT);
        if (count > 0) {
            sent += static_cast<std::size_t>(count);
            continue;
        }
        if (errno == EINTR) {
            continue;
        }
        // The first datagram was refused; the later ones may have other destinations and are still sent.
        ++this->droppedCount;
        ++sent;
    }
    this->queuedCount = 0;
}

}
