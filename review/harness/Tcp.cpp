#include "Tcp.h"

#include <arpa/inet.h>
#include <array>
#include <cstdlib>
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

int listenTcp(const Address& address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    const sockaddr_in bound = toSocketAddress(address);
    if (descriptor < 0 || bind(descriptor, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0
        || listen(descriptor, 256) != 0) {
        throw std::runtime_error("cannot listen on " + formatAddress(address));
    }
    return descriptor;
}

int connectTcp(const Address& address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in target = toSocketAddress(address);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&target), sizeof(target)) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string readUntil(int connection, const std::string& mark, const std::atomic<bool>& stopping)
{
    std::string text;
    while (!stopping && text.find(mark) == std::string::npos) {
        pollfd entry { connection, POLLIN, 0 };
        if (poll(&entry, 1, 50) <= 0) {
            continue;
        }
        std::array<char, 4096> buffer {};
        const auto count = recv(connection, buffer.data(), buffer.size(), 0);
        if (count <= 0) {
            break;
        }
        text.append(buffer.data(), static_cast<std::size_t>(count));
    }
    return text;
}

bool writeAll(int connection, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto count = send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

int getStatus(const Address& address, const std::string& path)
{
    const int descriptor = connectTcp(address);
    if (descriptor < 0) {
        return 0;
    }
    timeval limit { 0, 400'000 };
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    writeAll(descriptor, "GET " + path + " HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n");
    std::array<char, 64> buffer {};
    const auto count = recv(descriptor, buffer.data(), buffer.size() - 1, 0);
    close(descriptor);
    return count < 13 ? 0 : std::atoi(buffer.data() + 9);
}

}
