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

namespace chicoryferry {

class TcpStack;
class UdpSocket;

// Carries out what FlowAdmission decides about the envelopes that reach an agent, and keeps the flow table in step with
// the TCP stack.
class FlowIntake {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // All references must outlive this object.
    FlowIntake(FlowTable&, FlowAdmission&, TcpStack&, UdpSocket&, Metrics&);

    // One datagram from the data socket. A packet that is passed on refers to its bytes until the socket is flushed.
    void datagramReceived(TimePoint, const Endpoint& source, std::span<const std::uint8_t> datagram,
        std::chrono::milliseconds confirmationAge);

    // Asked for each valid packet; returns true when it has kept a copy of the datagram, which is then not processed.
    using Interceptor
        = std::function<bool(const FlowKey&, const Endpoint& source, std::span<const std::uint8_t> datagram)>;
    void setInterceptor(Interceptor function) { this->interceptor = std::move(function); }

    // The stack has accepted the flow's connection.
    void flowAccepted(const FlowKey&);

    // Removes flows that the stack has given up, and marks those that both sides have closed.
    void reconcile();

private:
    void carryOut(const PacketView&, const DeliverPacket&);
    void carryOut(const PacketView&, const AdmitFlow&);
    void carryOut(const PacketView&, const PassPacketOn&);
    void carryOut(const PacketView&, const DropPacket&);
    void carryOut(const PacketView&, const ResetFlow&);
    void forgetClosedFlow(const PacketView&);
    void removeHalfOpen(const FlowKey&);

    FlowTable& flows;
    FlowAdmission& admission;
    TcpStack& stack;
    UdpSocket& socket;
    Metrics& metrics;
    Interceptor interceptor;
    wire::EnvelopeHeader header;
    prometheus::Counter& delivered;
    prometheus::Counter& passedOn;
};

}
