#include "Sockets.h"

#include "support/UserError.h"

#include <cerrno>
#include <cstring>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicoryferry::standins {

namespace {

constexpr int udpBufferBytes = 8 * 1024 * 1024;
constexpr int listenBacklog = 4096;

void requireSuccess(int result, const std::string& step, const Endpoint& endpoint)
{
    if (result < 0) {
        throw UserError(step, formatEndpoint(endpoint), std::strerror(errno));
    }
}

int openSocket(int type, const Endpoint& endpoint)
{
    const int descriptor = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    requireSuccess(descriptor, "open socket", endpoint);
    return descriptor;
}

void setOption(int descriptor, int level, int name, int value)
{
    setsockopt(descriptor, level, name, &value, sizeof value);
}

void bindSocket(int descriptor, const Endpoint& endpoint)
{
    const sockaddr_in address = toSocketAddress(endpoint);
    requireSuccess(bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address), "bind", endpoint);
}

}

sockaddr_in toSocketAddress(const Endpoint& endpoint)
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(endpoint.address);
    address.sin_port = htons(endpoint.port);
    return address;
}

Endpoint toEndpoint(const sockaddr_in& address)
{
    return Endpoint { ntohl(address.sin_addr.s_addr), ntohs(address.sin_port) };
}

int openUdpSocket(const Endpoint& endpoint)
{
    const int descriptor = openSocket(SOCK_DGRAM, endpoint);
    setOption(descriptor, SOL_SOCKET, SO_RCVBUF, udpBufferBytes);
    setOption(descriptor, SOL_SOCKET, SO_SNDBUF, udpBufferBytes);
    bindSocket(descriptor, endpoint);
    return descriptor;
}

int openTcpListener(const Endpoint& endpoint)
{
    const int descriptor = openSocket(SOCK_STREAM, endpoint);
    setOption(descriptor, SOL_SOCKET, SO_REUSEADDR, 1);
    bindSocket(descriptor, endpoint);
    requireSuccess(listen(descriptor, listenBacklog), "listen", endpoint);
    return descriptor;
}

int startTcpConnect(const Endpoint& endpoint)
{
    const int descriptor = openSocket(SOCK_STREAM, endpoint);
    setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    const sockaddr_in address = toSocketAddress(endpoint);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) < 0 && errno != EINPROGRESS) {
        close(descriptor);
        throw UserError("connect", formatEndpoint(endpoint), std::strerror(errno));
    }
    return descriptor;
}

int acceptConnection(int listener)
{
    const int descriptor = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor >= 0) {
        setOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
    }
    return descriptor;
}

Endpoint boundAddress(int descriptor)
{
    sockaddr_in address {};
    socklen_t length = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    return toEndpoint(address);
}

void closeWithReset(int descriptor)
{
    const linger immediate { 1, 0 };
    setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &immediate, sizeof immediate);
    close(descriptor);
}

}
