#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

struct netif;

namespace chicoryferry::standins {

// The callers' side of TCP: one lwIP interface for each caller address. lwIP keeps global state, so a process
// must have only one object, and all calls must be made on one thread.
class ClientStack {
public:
    // Receives each IP packet that a caller sends.
    using PacketHandler = std::function<void(std::string_view packet)>;

    explicit ClientStack(PacketHandler);
    ~ClientStack();
    ClientStack(const ClientStack&) = delete;
    ClientStack& operator=(const ClientStack&) = delete;

    // Makes the address usable as the source of connections. Idempotent.
    void addCaller(std::uint32_t address);

    bool hasCaller(std::uint32_t address) const { return this->interfaces.contains(address); }

    // Takes an IP packet addressed to a caller.
    void receive(std::string_view packet);

    // Runs lwIP's due timers.
    void runTimers();

    // Time until the next timer is due, at most the limit.
    std::chrono::milliseconds untilNextTimer(std::chrono::milliseconds limit) const;

    void packetSent(std::string_view packet) { this->onPacket(packet); }

private:
    PacketHandler onPacket;
    std::map<std::uint32_t, std::unique_ptr<netif>> interfaces;
};

}
