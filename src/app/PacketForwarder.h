#pragma once

#include "coordination/PacketRouter.h"
#include "protocol/PacketView.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <vector>

namespace prometheus {
class Counter;
}

namespace chicoryferry {

namespace wire {
class EnvelopeHeader;
}

class ConfigurationView;
class Metrics;
class UdpSocket;

// The data path of a balancer: receives packets from the network fabric, has PacketRouter choose the agent and sends
// the packets to agents in envelopes. Single-threaded; does not allocate per packet.
class PacketForwarder {
public:
    // All references must outlive this object.
    PacketForwarder(UdpSocket&, Metrics&);
    ~PacketForwarder();

    // Routes packets by this view from now on. Until the first view is set, every packet is dropped as not_ready.
    void setView(std::shared_ptr<const ConfigurationView>);

    // Forwards the packets waiting in the socket, up to a few batches. Returns the number of packets received.
    std::size_t forwardPending();

private:
    void forwardPacket(std::span<const std::uint8_t> datagram);

    UdpSocket& socket;
    std::unique_ptr<PacketRouter> router;
    std::unique_ptr<wire::EnvelopeHeader> header;
    std::uint64_t reportedSocketDrops { 0 };
    std::size_t forwardedInBatch { 0 };
    prometheus::Counter& forwarded;
    prometheus::Counter& notReady;
    prometheus::Counter& sendRefused;
    std::array<prometheus::Counter*, 4> packetFaults;
    std::array<prometheus::Counter*, 3> routingFaults;
};

}
