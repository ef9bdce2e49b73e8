#pragma once

#include "coordination/FlowAdmission.h"
#include "messages.pb.h"
#include "protocol/Endpoint.h"
#include "protocol/PacketView.h"
#include "state/FlowTable.h"
#include "support/Metrics.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace chicoryferry {

class TcpStack;
class UdpSocket;

// Processes the envelopes that reach an agent: carries out the decisions of FlowAdmission and keeps the flow table
// consistent with the TCP stack.
class EnvelopeProcessor {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // All references must outlive this object.
    EnvelopeProcessor(FlowTable&, FlowAdmission&, TcpStack&, UdpSocket&, Metrics&);

    // Handles one datagram from the data socket. A forwarded packet refers to the bytes of the datagram until the
    // socket is flushed.
    void datagramReceived(TimePoint, const Endpoint& source, std::span<const std::uint8_t> datagram,
        std::chrono::milliseconds confirmationAge);

    // Called for each valid packet. Returns true when it has kept a copy of the datagram, which is then not processed
    // further.
    using Interceptor
        = std::function<bool(const FlowKey&, const Endpoint& source, std::span<const std::uint8_t> datagram)>;
    void setInterceptor(Interceptor function) { this->interceptor = std::move(function); }

    // Called when the TCP stack has accepted the connection of the flow.
    void flowAccepted(const FlowKey&);

    // Removes flows that the TCP stack no longer has, and marks flows that both sides have closed.
    void reconcile();

private:
    void carryOut(const PacketView&, const DeliverPacket&);
    void carryOut(const PacketView&, const AdmitFlow&);
    void carryOut(const PacketView&, const ForwardPacket&);
    void carryOut(const PacketView&, const DropPacket&);
    void carryOut(const PacketView&, const ResetFlow&);
    void removeClosedFlow(const PacketView&);
    void removeHalfOpen(const FlowKey&);

    FlowTable& flows;
    FlowAdmission& admission;
    TcpStack& stack;
    UdpSocket& socket;
    Metrics& metrics;
    Interceptor interceptor;
    wire::EnvelopeHeader header;
    std::vector<prometheus::Counter*> dropCounters; // by AdmissionDrop
    std::vector<prometheus::Counter*> refusalCounters; // by AdmissionRefusal
    std::vector<prometheus::Counter*> faultCounters; // by PacketFault
    prometheus::Counter& malformedEnvelope;
    prometheus::Counter& delivered;
    prometheus::Counter& forwarded;
};

}
