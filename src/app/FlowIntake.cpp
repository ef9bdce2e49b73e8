#include "app/FlowIntake.h"

#include "protocol/Envelope.h"
#include "support/Metrics.h"
#include "transport/TcpStack.h"
#include "transport/UdpSocket.h"

#include <unordered_map>
#include <vector>

namespace chicoryferry {

namespace {

constexpr const char* step = "admit packet";

FlowKey keyOf(const PacketView& packet) { return { packet.source, packet.destination }; }

}

FlowIntake::FlowIntake(FlowTable& flowTable, FlowAdmission& flowAdmission, TcpStack& tcpStack, UdpSocket& dataSocket,
    Metrics& processMetrics)
    : flows(flowTable)
    , admission(flowAdmission)
    , stack(tcpStack)
    , socket(dataSocket)
    , metrics(processMetrics)
    , delivered(processMetrics.events("packet_delivered"))
    , passedOn(processMetrics.events("packet_passed_on"))
{
}

void FlowIntake::datagramReceived(TimePoint now, const Endpoint& source, std::span<const std::uint8_t> datagram,
    std::chrono::milliseconds confirmationAge)
{
    const auto bytes = decodeEnvelope(datagram, this->header);
    if (!bytes) {
        this->metrics.drops(step, "malformed_envelope").Increment();
        return;
    }
    const auto parsed = parsePacket(*bytes);
    if (const auto* fault = std::get_if<PacketFault>(&parsed)) {
        this->metrics.drops(step, std::string(packetFaultName(*fault))).Increment();
        return;
    }
    const auto& packet = std::get<PacketView>(parsed);
    if (this->interceptor && this->interceptor(keyOf(packet), source, datagram)) {
        return;
    }
    this->forgetClosedFlow(packet);
    const AdmissionDecision decision = this->admission.decide(now, source, this->header, packet, confirmationAge);
    std::visit([&](const auto& each) { this->carryOut(packet, each); }, decision);
}

// A caller may open a new flow from the port of one that both sides have closed (RFC 9293, 3.6.1).
void FlowIntake::forgetClosedFlow(const PacketView& packet)
{
    if (!packet.isFirst()) {
        return;
    }
    const Flow* flow = this->flows.find(keyOf(packet));
    if (flow != nullptr && this->stack.phaseOf(packet.destination, packet.source) == TcpFlowPhase::TimeWait) {
        this->stack.removeSilently(packet.destination, packet.source);
        this->flows.remove(keyOf(packet));
    }
}

void FlowIntake::carryOut(const PacketView& packet, const DeliverPacket&)
{
    this->delivered.Increment();
    this->stack.input(packet.bytes);
    const Flow* flow = this->flows.find(keyOf(packet));
    if (flow != nullptr && flow->state == FlowState::HalfOpen
        && !this->stack.phaseOf(packet.destination, packet.source)) {
        this->flows.remove(keyOf(packet));
    }
}

void FlowIntake::carryOut(const PacketView& packet, const AdmitFlow& decision)
{
    this->stack.input(packet.bytes);
    const auto acknowledgement = this->stack.halfOpenAcknowledgement(packet.destination, packet.source);
    if (!acknowledgement) {
        this->metrics.drops(step, "not_accepted").Increment();
        return;
    }
    this->flows.put(keyOf(packet), { decision.serviceId, FlowState::HalfOpen, *acknowledgement });
    this->metrics.events("flow_admitted").Increment();
}

void FlowIntake::carryOut(const PacketView& packet, const PassPacketOn& decision)
{
    if (decision.removeHalfOpen) {
        this->removeHalfOpen(keyOf(packet));
    }
    const std::size_t headerLength = encodeEnvelopeHeader(this->header, this->socket.headerSpace());
    this->socket.queue(decision.destination, headerLength, packet.bytes);
    this->passedOn.Increment();
}

void FlowIntake::carryOut(const PacketView& packet, const DropPacket& decision)
{
    if (decision.removeHalfOpen) {
        this->removeHalfOpen(keyOf(packet));
    }
    this->metrics.drops(step, std::string(admissionDropName(decision.reason))).Increment();
}

void FlowIntake::carryOut(const PacketView& packet, const ResetFlow& decision)
{
    this->metrics.refusals(step, std::string(admissionRefusalName(decision.reason))).Increment();
    // SYN and FIN each take one sequence number.
    const auto length
        = static_cast<std::uint32_t>(packet.payloadLength + (packet.synchronize ? 1 : 0) + (packet.finish ? 1 : 0));
    const std::uint32_t sequence = packet.acknowledge ? packet.acknowledgementNumber : 0;
    this->stack.sendReset(packet.destination, packet.source, sequence, packet.sequenceNumber + length);
}

void FlowIntake::removeHalfOpen(const FlowKey& key)
{
    this->stack.removeSilently(key.service, key.caller);
    this->flows.remove(key);
    this->metrics.events("half_open_removed").Increment();
}

void FlowIntake::flowAccepted(const FlowKey& key) { this->flows.setState(key, FlowState::Open); }

void FlowIntake::reconcile()
{
    std::unordered_map<FlowKey, TcpFlowPhase, FlowKeyHash> held;
    for (const TcpFlowSummary& summary : this->stack.flows()) {
        held.emplace(FlowKey { summary.remote, summary.local }, summary.phase);
    }
    std::vector<FlowKey> gone;
    std::vector<FlowKey> closed;
    this->flows.forEach([&](const FlowKey& key, const Flow& flow) {
        const auto found = held.find(key);
        if (found == held.end()) {
            gone.push_back(key);
        } else if (found->second == TcpFlowPhase::TimeWait && flow.state != FlowState::Closed) {
            closed.push_back(key);
        }
    });
    for (const FlowKey& key : gone) {
        this->flows.remove(key);
    }
    for (const FlowKey& key : closed) {
        this->flows.setState(key, FlowState::Closed);
    }
}

}
