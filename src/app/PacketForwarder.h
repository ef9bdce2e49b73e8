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

// The balancer's data path: takes packets from the fabric, asks PacketRouter, sends envelopes to agents.
// One thread; allocates nothing for a packet.
class PacketForwarder {
public:
    // All references must outlive this object.
    PacketForwarder(UdpSocket&, Metrics&);
    ~PacketForwarder();

    // From now on packets are routed by this view; before the first one every packet is dropped as not_ready.
    void setView(std::shared_ptr<const ConfigurationView>);

    // Forwards what is pending, at most a few batches. Returns the number of packets taken.
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
