#include "Loop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
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

int openSocket(int type, const Address& address)
{
    const int descriptor = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM) {
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    const sockaddr_in bound = toSocketAddress(address);
    if (descriptor < 0 || bind(descriptor, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0) {
        throw std::runtime_error("cannot bind " + text(address) + ": " + std::strerror(errno));
    }
    return descriptor;
}

}

void Loop::watch(int descriptor, std::function<void()> readable) { this->readers[descriptor] = std::move(readable); }

void Loop::forget(int descriptor) { this->readers.erase(descriptor); }

void Loop::after(milliseconds delay, std::function<void()> task)
{
    this->timers.emplace(Clock::now() + delay, std::move(task));
}

void Loop::step(milliseconds longest)
{
    auto wait = longest;
    if (!this->timers.empty()) {
        const auto due = std::chrono::ceil<milliseconds>(this->timers.begin()->first - Clock::now());
        wait = std::clamp(due, milliseconds(0), longest);
    }
    std::vector<pollfd> polled;
    polled.reserve(this->readers.size());
    for (const auto& [descriptor, reader] : this->readers) {
        polled.push_back({ descriptor, POLLIN, 0 });
    }
    poll(polled.data(), polled.size(), static_cast<int>(wait.count()));
    for (const pollfd& item : polled) {
        const auto found = this->readers.find(item.fd);
        if (item.revents != 0 && found != this->readers.end()) {
            const auto reader = found->second; // it may remove itself
            reader();
        }
    }
    while (!this->timers.empty() && this->timers.begin()->first <= Clock::now()) {
        const auto task = std::move(this->timers.begin()->second);
        this->timers.erase(this->timers.begin());
        task();
    }
}

void Loop::runFor(milliseconds duration)
{
    this->runUntil([] { return false; }, duration);
}

bool Loop::runUntil(const std::function<bool()>& condition, milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (!condition()) {
        const auto left = std::chrono::ceil<milliseconds>(end - Clock::now());
        if (left.count() <= 0) {
            return false;
        }
        this->step(std::min(left, milliseconds(20)));
    }
    return true;
}

int openUdp(const Address& address)
{
    const int descriptor = openSocket(SOCK_DGRAM, address);
    const int bytes = 1 << 20;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    return descriptor;
}

int openListener(const Address& address)
{
    const int descriptor = openSocket(SOCK_STREAM, address);
    listen(descriptor, 64);
    return descriptor;
}

void sendUdp(int socket, const Address& to, const Packet& packet)
{
    const Bytes bytes = encode(packet);
    const sockaddr_in address = toSocketAddress(to);
    sendto(socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

std::optional<Packet> receiveUdp(int socket)
{
    std::array<std::uint8_t, 4096> buffer {};
    for (;;) {
        const auto count = recv(socket, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count < 0 && errno == ECONNREFUSED) {
            continue;
        }
        if (count < 0) {
            return std::nullopt;
        }
        if (auto packet = decode({ buffer.data(), static_cast<std::size_t>(count) })) {
            return packet;
        }
    }
}

}
