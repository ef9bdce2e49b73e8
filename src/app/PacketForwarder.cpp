#include "app/PacketForwarder.h"

#include "messages.pb.h"
#include "protocol/Envelope.h"
#include "state/ConfigurationView.h"
#include "support/Metrics.h"
#include "transport/UdpSocket.h"

#include <string>

namespace chicoryferry {

namespace {

// Limits the batches per call, so that timers and signals are still served under load.
constexpr int maxBatchesPerCall = 16;

template <typename Fault, std::size_t Count, typename NameOf>
std::array<prometheus::Counter*, Count> faultCounters(Metrics& metrics, NameOf nameOf)
{
    std::array<prometheus::Counter*, Count> counters {};
    for (std::size_t index = 0; index < Count; ++index) {
        counters[index] = &metrics.drops("route", std::string(nameOf(static_cast<Fault>(index))));
    }
    return counters;
}

}

PacketForwarder::PacketForwarder(UdpSocket& dataSocket, Metrics& metrics)
    : socket(dataSocket)
    , header(std::make_unique<wire::EnvelopeHeader>())
    , forwarded(metrics.events("packet_forwarded"))
    , notReady(metrics.drops("route", "not_ready"))
    , sendRefused(metrics.drops("send", "kernel_refused"))
    , packetFaults(faultCounters<PacketFault, 4>(metrics, packetFaultName))
    , routingFaults(faultCounters<RoutingFault, 3>(metrics, routingFaultName))
{
}

PacketForwarder::~PacketForwarder() = default;

void PacketForwarder::setView(std::shared_ptr<const ConfigurationView> view)
{
    this->router = std::make_unique<PacketRouter>(std::move(view));
}

void PacketForwarder::forwardPacket(std::span<const std::uint8_t> datagram)
{
    const auto parsed = parsePacket(datagram);
    if (const auto* fault = std::get_if<PacketFault>(&parsed)) {
        this->packetFaults[static_cast<std::size_t>(*fault)]->Increment();
        return;
    }
    if (!this->router) {
        this->notReady.Increment();
        return;
    }
    const auto routed = this->router->route(std::get<PacketView>(parsed), *this->header);
    if (const auto* fault = std::get_if<RoutingFault>(&routed)) {
        this->routingFaults[static_cast<std::size_t>(*fault)]->Increment();
        return;
    }
    const std::size_t headerLength = encodeEnvelopeHeader(*this->header, this->socket.headerSpace());
    this->socket.queue(std::get<Endpoint>(routed), headerLength, datagram);
    ++this->forwardedInBatch;
}

std::size_t PacketForwarder::forwardPending()
{
    std::size_t received = 0;
    for (int batch = 0; batch < maxBatchesPerCall; ++batch) {
        const auto datagrams = this->socket.receive();
        if (datagrams.empty()) {
            break;
        }
        for (const ReceivedDatagram& datagram : datagrams) {
            this->forwardPacket(datagram.bytes);
        }
        this->socket.flush();
        received += datagrams.size();
    }
    if (this->forwardedInBatch > 0) {
        this->forwarded.Increment(static_cast<double>(this->forwardedInBatch));
        this->forwardedInBatch = 0;
    }
    if (this->socket.dropped() != this->reportedSocketDrops) {
        this->sendRefused.Increment(static_cast<double>(this->socket.dropped() - this->reportedSocketDrops));
        this->reportedSocketDrops = this->socket.dropped();
    }
    return received;
}

}
