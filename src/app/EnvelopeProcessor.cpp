#include "app/EnvelopeProcessor.h"

#include "protocol/Envelope.h"
#include "support/Metrics.h"
#include "transport/TcpStack.h"
#include "transport/UdpSocket.h"

#include <unordered_map>
#include <vector>

namespace chicoryferry {

namespace {

constexpr const char* step = "admit packet";

std::vector<prometheus::Counter*> dropCountersOf(Metrics& metrics)
{
    std::vector<prometheus::Counter*> counters;
    for (const AdmissionDrop reason : { AdmissionDrop::UnknownPeer, AdmissionDrop::WrongIncarnation,
             AdmissionDrop::WrongService, AdmissionDrop::NotSelected, AdmissionDrop::FlowUnknown }) {
        counters.push_back(&metrics.drops(step, std::string(admissionDropName(reason))));
    }
    return counters;
}

std::vector<prometheus::Counter*> refusalCountersOf(Metrics& metrics)
{
    std::vector<prometheus::Counter*> counters;
    for (const AdmissionRefusal reason : { AdmissionRefusal::RefusedDraining, AdmissionRefusal::RefusedFull,
             AdmissionRefusal::RefusedNotSelected, AdmissionRefusal::FlowUnknown }) {
        counters.push_back(&metrics.refusals(step, std::string(admissionRefusalName(reason))));
    }
    return counters;
}

std::vector<prometheus::Counter*> faultCountersOf(Metrics& metrics)
{
    std::vector<prometheus::Counter*> counters;
    for (const PacketFault fault :
        { PacketFault::Malformed, PacketFault::Fragment, PacketFault::LengthMismatch, PacketFault::NotTcp }) {
        counters.push_back(&metrics.drops(step, std::string(packetFaultName(fault))));
    }
    return counters;
}

FlowKey keyOf(const PacketView& packet) { return { packet.source, packet.destination }; }

}

EnvelopeProcessor::EnvelopeProcessor(FlowTable& flowTable, FlowAdmission& flowAdmission, TcpStack& tcpStack,
    UdpSocket& dataSocket, Metrics& processMetrics)
    : flows(flowTable)
    , admission(flowAdmission)
    , stack(tcpStack)
    , socket(dataSocket)
    , metrics(processMetrics)
    , dropCounters(dropCountersOf(processMetrics))
    , refusalCounters(refusalCountersOf(processMetrics))
    , faultCounters(faultCountersOf(processMetrics))
    , malformedEnvelope(processMetrics.drops(step, "malformed_envelope"))
    , delivered(processMetrics.events("packet_delivered"))
    , forwarded(processMetrics.events("packet_passed_on"))
{
}

void EnvelopeProcessor::datagramReceived(TimePoint now, const Endpoint& source, std::span<const std::uint8_t> datagram,
    std::chrono::milliseconds confirmationAge)
{
    const auto bytes = decodeEnvelope(datagram, this->header);
    if (!bytes) {
        this->malformedEnvelope.Increment();
        return;
    }
    const auto parsed = parsePacket(*bytes);
    if (const auto* fault = std::get_if<PacketFault>(&parsed)) {
        this->faultCounters[static_cast<std::size_t>(*fault)]->Increment();
        return;
    }
    const auto& packet = std::get<PacketView>(parsed);
    if (this->interceptor && this->interceptor(keyOf(packet), source, datagram)) {
        return;
    }
    this->removeClosedFlow(packet);
    const AdmissionDecision decision = this->admission.decide(now, source, this->header, packet, confirmationAge);
    std::visit([&](const auto& each) { this->carryOut(packet, each); }, decision);
}

// A caller may reuse the port of a flow that both sides have closed to open a new one (RFC 9293, 3.6.1).
void EnvelopeProcessor::removeClosedFlow(const PacketView& packet)
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

void EnvelopeProcessor::carryOut(const PacketView& packet, const DeliverPacket&)
{
    this->delivered.Increment();
    this->stack.input(packet.bytes);
    const Flow* flow = this->flows.find(keyOf(packet));
    if (flow != nullptr && flow->state == FlowState::HalfOpen
        && !this->stack.phaseOf(packet.destination, packet.source)) {
        this->flows.remove(keyOf(packet));
    }
}

void EnvelopeProcessor::carryOut(const PacketView& packet, const AdmitFlow& decision)
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

void EnvelopeProcessor::carryOut(const PacketView& packet, const ForwardPacket& decision)
{
    if (decision.removeHalfOpen) {
        this->removeHalfOpen(keyOf(packet));
    }
    const std::size_t headerLength = encodeEnvelopeHeader(this->header, this->socket.headerSpace());
    this->socket.queue(decision.destination, headerLength, packet.bytes);
    this->forwarded.Increment();
}

void EnvelopeProcessor::carryOut(const PacketView& packet, const DropPacket& decision)
{
    if (decision.removeHalfOpen) {
        this->removeHalfOpen(keyOf(packet));
    }
    this->dropCounters[static_cast<std::size_t>(decision.reason)]->Increment();
}

void EnvelopeProcessor::carryOut(const PacketView& packet, const ResetFlow& decision)
{
    this->refusalCounters[static_cast<std::size_t>(decision.reason)]->Increment();
    // SYN and FIN each take one sequence number.
    const auto length
        = static_cast<std::uint32_t>(packet.payloadLength + (packet.synchronize ? 1 : 0) + (packet.finish ? 1 : 0));
    const std::uint32_t sequence = packet.acknowledge ? packet.acknowledgementNumber : 0;
    this->stack.sendReset(packet.destination, packet.source, sequence, packet.sequenceNumber + length);
}

void EnvelopeProcessor::removeHalfOpen(const FlowKey& key)
{
    this->stack.removeSilently(key.service, key.caller);
    this->flows.remove(key);
    this->metrics.events("half_open_removed").Increment();
}

void EnvelopeProcessor::flowAccepted(const FlowKey& key) { this->flows.setState(key, FlowState::Open); }

void EnvelopeProcessor::reconcile()
{
    std::unordered_map<FlowKey, TcpFlowPhase, FlowKeyHash> stackPhases;
    for (const TcpFlowSummary& summary : this->stack.flows()) {
        stackPhases.emplace(FlowKey { summary.remote, summary.local }, summary.phase);
    }
    std::vector<FlowKey> gone;
    std::vector<FlowKey> closed;
    this->flows.forEach([&](const FlowKey& key, const Flow& flow) {
        const auto found = stackPhases.find(key);
        if (found == stackPhases.end()) {
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
