#include "ScriptedBackend.h"

#include <arpa/inet.h>
#include <array>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace chicoryferry {

namespace {

int bindLoopback(Endpoint& address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    sockaddr_in name {};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(name);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&name), length) != 0
        || getsockname(descriptor, reinterpret_cast<sockaddr*>(&name), &length) != 0) {
        throw std::runtime_error("cannot bind a TCP socket to a loopback port");
    }
    address = { INADDR_LOOPBACK, ntohs(name.sin_port) };
    return descriptor;
}

}

void ScriptedBackend::Connection::send(const std::string& bytes) { this->outgoing += bytes; }

ScriptedBackend::ScriptedBackend(EventLoop& loop, Script behaviour)
    : eventLoop(loop)
    , script(std::move(behaviour))
    , listener(bindLoopback(address))
{
    listen(this->listener, 64);
    this->eventLoop.add(this->listener, EPOLLIN, [this](std::uint32_t) { this->accept(); });
}

ScriptedBackend::~ScriptedBackend()
{
    while (!this->connections.empty()) {
        this->remove(this->connections.begin()->first, false);
    }
    this->eventLoop.remove(this->listener);
    close(this->listener);
}

void ScriptedBackend::accept()
{
    const int descriptor = accept4(this->listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (descriptor < 0) {
        return;
    }
    ++this->acceptedCount;
    this->connections.emplace(descriptor, std::make_unique<Connection>());
    this->eventLoop.add(descriptor, EPOLLIN, [this, descriptor](std::uint32_t) { this->advance(descriptor); });
}

void ScriptedBackend::advance(int descriptor)
{
    Connection& connection = *this->connections.at(descriptor);
    std::array<char, 16384> buffer {};
    const ssize_t count = recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    if (count > 0) {
        connection.received.append(buffer.data(), static_cast<std::size_t>(count));
    } else if (count == 0 || (errno != EAGAIN && errno != EINTR)) {
        connection.clientClosed = true;
    }
    if (count != -1 || connection.clientClosed) {
        this->script(connection);
    }
    this->flush(descriptor);
}

void ScriptedBackend::flush(int descriptor)
{
    Connection& connection = *this->connections.at(descriptor);
    while (!connection.outgoing.empty()) {
        const ssize_t count
            = ::send(descriptor, connection.outgoing.data(), connection.outgoing.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (count <= 0) {
            break;
        }
        connection.outgoing.erase(0, static_cast<std::size_t>(count));
    }
    if (connection.clientClosed || connection.resetting || (connection.closing && connection.outgoing.empty())) {
        this->remove(descriptor, connection.resetting);
        return;
    }
    this->eventLoop.modify(descriptor, connection.outgoing.empty() ? EPOLLIN : EPOLLIN | EPOLLOUT);
}

void ScriptedBackend::remove(int descriptor, bool withReset)
{
    if (withReset) {
        const linger abort { 1, 0 };
        setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    }
    this->eventLoop.remove(descriptor);
    close(descriptor);
    this->connections.erase(descriptor);
}

void ScriptedBackend::runScripts()
{
    std::vector<int> descriptors;
    for (const auto& [descriptor, connection] : this->connections) {
        descriptors.push_back(descriptor);
    }
    for (const int descriptor : descriptors) {
        this->script(*this->connections.at(descriptor));
        this->flush(descriptor);
    }
}

bool runUntil(EventLoop& loop, const std::function<bool()>& done, const std::function<void()>& everyRound,
    std::chrono::milliseconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < end) {
        loop.runOnce(std::chrono::milliseconds(2));
        if (everyRound) {
            everyRound();
        }
    }
    return done();
}

Endpoint unusedEndpoint()
{
    Endpoint address;
    close(bindLoopback(address));
    return address;
}

}
