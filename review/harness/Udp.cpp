#include "Udp.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

namespace {

sockaddr_in toSocketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    result.sin_addr.s_addr = htonl(address.ip);
    return result;
}

}

Udp::Udp(const Address& address)
    : descriptor(socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0))
{
    const sockaddr_in bound = toSocketAddress(address);
    if (this->descriptor < 0 || bind(this->descriptor, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0) {
        throw std::runtime_error("cannot bind " + formatAddress(address));
    }
    const int bufferBytes = 1 << 21;
    setsockopt(this->descriptor, SOL_SOCKET, SO_RCVBUF, &bufferBytes, sizeof(bufferBytes));
}

Udp::~Udp() { close(this->descriptor); }

void Udp::send(const Address& to, const Bytes& bytes) const
{
    const sockaddr_in target = toSocketAddress(to);
    sendto(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&target),
        sizeof(target));
}

std::optional<Bytes> Udp::receive(std::chrono::milliseconds timeout, Address& from) const
{
    pollfd entry { this->descriptor, POLLIN, 0 };
    if (poll(&entry, 1, static_cast<int>(timeout.count())) <= 0) {
        return std::nullopt;
    }
    std::array<std::uint8_t, 2048> buffer {};
    sockaddr_in source {};
    socklen_t length = sizeof(source);
    const auto count = recvfrom(
        this->descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&source), &length);
    if (count < 0) {
        return std::nullopt;
    }
    from = { ntohl(source.sin_addr.s_addr), ntohs(source.sin_port) };
    return Bytes(buffer.begin(), buffer.begin() + count);
}

}
