#pragma once

#include "transport/TcpStack.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <vector>

namespace chicoryferry {

// A caller's and a server's TCP stack in one process, connected by a packet queue in each direction.
class TcpPair {
public:
    using Packet = std::vector<std::uint8_t>;

    // Delivers packets and events until neither direction has any left.
    void run()
    {
        for (int idle = 0; idle < 2;) {
            this->client.poll();
            this->server.poll();
            idle = this->deliver(this->toServer, this->server) || this->deliver(this->toClient, this->client)
                ? 0
                : idle + 1;
        }
    }

    // Opens a connection and returns its identifier in the caller's stack; `accepted` holds that in the server's.
    std::uint64_t open(std::uint16_t callerPort = 40000)
    {
        const std::uint64_t connection = this->client.connect({ this->caller.address, callerPort }, this->service);
        this->run();
        return connection;
    }

    // Returns and consumes the readable bytes of a connection.
    static std::string take(TcpStack& stack, std::uint64_t connection)
    {
        std::string data(stack.readable(connection));
        stack.consume(connection, data.size());
        return data;
    }

    template <typename Event> std::size_t count(const std::vector<TcpEvent>& events) const
    {
        std::size_t result = 0;
        for (const TcpEvent& event : events) {
            result += std::holds_alternative<Event>(event) ? 1 : 0;
        }
        return result;
    }

    Endpoint caller = parseEndpoint("10.9.0.1:40000");
    Endpoint service = parseEndpoint("10.1.0.1:80");
    std::deque<Packet> toServer;
    std::deque<Packet> toClient;
    std::vector<TcpEvent> clientEvents;
    std::vector<TcpEvent> serverEvents;
    std::uint64_t accepted { 0 };
    std::function<void(const TcpEvent&)> onServerEvent;
    TcpStack client { [this](std::span<const std::uint8_t> packet) {
                         this->toServer.emplace_back(packet.begin(), packet.end());
                     },
        [this](const TcpEvent& event) { this->clientEvents.push_back(event); } };
    TcpStack server { [this](std::span<const std::uint8_t> packet) {
                         this->toClient.emplace_back(packet.begin(), packet.end());
                     },
        [this](const TcpEvent& event) {
            this->serverEvents.push_back(event);
            if (this->onServerEvent) {
                this->onServerEvent(event);
            }
            if (const auto* accept = std::get_if<TcpAccepted>(&event)) {
                this->accepted = accept->connection;
            }
        } };

private:
    bool deliver(std::deque<Packet>& queue, TcpStack& stack)
    {
        if (queue.empty()) {
            return false;
        }
        const Packet packet = std::move(queue.front());
        queue.pop_front();
        stack.input(packet);
        return true;
    }
};

}
