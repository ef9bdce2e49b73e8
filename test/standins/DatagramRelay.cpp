#include "DatagramRelay.h"

#include "Sockets.h"

#include <array>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicoryferry::standins {

namespace {

constexpr std::size_t maximumDatagramBytes = 65536;

}

DatagramRelay::DatagramRelay(
    StandinLoop& loopToUse, ProxyRules& rulesToUse, std::string relayName, const Endpoint& targetAddress)
    : loop(loopToUse)
    , rules(rulesToUse)
    , name(std::move(relayName))
    , target(targetAddress)
    , descriptor(openUdpSocket(parseEndpoint("127.0.0.1:0")))
{
    this->loop.events().add(this->descriptor, EPOLLIN, [this](std::uint32_t) { this->receiveFromSenders(); });
}

DatagramRelay::~DatagramRelay()
{
    this->loop.events().remove(this->descriptor);
    close(this->descriptor);
    for (const auto& [sender, socket] : this->sockets) {
        this->loop.events().remove(socket);
        close(socket);
    }
}

Endpoint DatagramRelay::address() const { return boundAddress(this->descriptor); }

void DatagramRelay::receiveFromSenders()
{
    std::array<char, maximumDatagramBytes> buffer {};
    sockaddr_in from {};
    socklen_t length = sizeof from;
    ssize_t count
        = recvfrom(this->descriptor, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&from), &length);
    while (count >= 0) {
        const std::string bytes(buffer.data(), static_cast<std::size_t>(count));
        this->forward(this->socketFor(toEndpoint(from)), this->target, bytes, false);
        count
            = recvfrom(this->descriptor, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr*>(&from), &length);
    }
}

void DatagramRelay::receiveFromTarget(int socket, const Endpoint& sender)
{
    std::array<char, maximumDatagramBytes> buffer {};
    for (ssize_t count = recv(socket, buffer.data(), buffer.size(), 0); count >= 0;
         count = recv(socket, buffer.data(), buffer.size(), 0)) {
        this->forward(this->descriptor, sender, std::string(buffer.data(), static_cast<std::size_t>(count)), true);
    }
}

int DatagramRelay::socketFor(const Endpoint& sender)
{
    const auto found = this->sockets.find(sender);
    if (found != this->sockets.end()) {
        return found->second;
    }
    const int socket = openUdpSocket(parseEndpoint("127.0.0.1:0"));
    this->sockets.emplace(sender, socket);
    this->loop.events().add(
        socket, EPOLLIN, [this, socket, sender](std::uint32_t) { this->receiveFromTarget(socket, sender); });
    return socket;
}

void DatagramRelay::forward(int socket, const Endpoint& to, const std::string& bytes, bool fromTarget)
{
    for (const ProxyRules::Duration delay : this->rules.decide(ProxiedItem { "", this->name, "", fromTarget })) {
        const auto deliver = [socket, to, bytes] {
            const sockaddr_in address = toSocketAddress(to);
            sendto(socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        };
        if (delay.count() == 0) {
            deliver();
        } else {
            this->loop.schedule(std::chrono::steady_clock::now() + delay, deliver);
        }
    }
}

}
