#include "coordination/FlowAdmission.h"

#include "messages.pb.h"
#include "protocol/PacketView.h"
#include "state/ConfigurationView.h"
#include "state/FlowTable.h"

#include <algorithm>

namespace chicoryferry {

namespace {

FlowKey keyOf(const PacketView& packet) { return { packet.source, packet.destination }; }

Endpoint addressOf(const wire::Candidate& candidate)
{
    return { candidate.address(), static_cast<std::uint16_t>(candidate.port()) };
}

bool sameCandidate(const wire::Candidate& left, const wire::Candidate& right)
{
    return addressOf(left) == addressOf(right) && left.incarnation() == right.incarnation();
}

bool contains(const wire::EnvelopeHeader& header, const wire::Candidate& candidate)
{
    return std::any_of(header.candidates().begin(), header.candidates().end(),
        [&](const wire::Candidate& each) { return sameCandidate(each, candidate); });
}

// True if the flow is half-open here but another host has completed its handshake: the caller then acknowledges a
// sequence number that this host did not send.
bool completedByOtherHost(const Flow& flow, const PacketView& packet)
{
    if (flow.state != FlowState::HalfOpen || packet.isFirst()) {
        return false;
    }
    return !packet.acknowledge || packet.acknowledgementNumber != flow.handshakeAcknowledgement;
}

}

std::string_view admissionDropName(AdmissionDrop reason)
{
    switch (reason) {
    case AdmissionDrop::UnknownPeer:
        return "unknown_peer";
    case AdmissionDrop::WrongIncarnation:
        return "wrong_incarnation";
    case AdmissionDrop::WrongService:
        return "wrong_service";
    case AdmissionDrop::NotSelected:
        return "not_selected";
    case AdmissionDrop::FlowUnknown:
        return "flow_unknown";
    }
    return "unknown";
}

std::string_view admissionRefusalName(AdmissionRefusal reason)
{
    switch (reason) {
    case AdmissionRefusal::RefusedDraining:
        return "refused_draining";
    case AdmissionRefusal::RefusedFull:
        return "refused_full";
    case AdmissionRefusal::RefusedNotSelected:
        return "refused_not_selected";
    case AdmissionRefusal::FlowUnknown:
        return "flow_unknown";
    }
    return "unknown";
}

FlowAdmission::FlowAdmission(std::string ownInstance, std::uint64_t ownIncarnation, const FlowTable& table)
    : instance(std::move(ownInstance))
    , incarnation(ownIncarnation)
    , flows(table)
{
}

void FlowAdmission::viewChanged(std::shared_ptr<const ConfigurationView> newView)
{
    this->view = std::move(newView);
    this->router = std::make_unique<PacketRouter>(this->view);
}

const Host* FlowAdmission::ownHost() const
{
    if (!this->view) {
        return nullptr;
    }
    const Host* host = this->view->hostByName(this->instance);
    return host != nullptr && host->incarnation == this->incarnation ? host : nullptr;
}

bool FlowAdmission::isDraining() const
{
    const Host* host = this->ownHost();
    return this->draining || (host != nullptr && this->view->isDraining(*host));
}

bool FlowAdmission::serves(const Service& service, const Endpoint& caller) const
{
    const Host* own = this->ownHost();
    const CallerGroup* group = this->view->callerGroupOf(caller.address);
    if (own == nullptr || group == nullptr) {
        return false;
    }
    const std::vector<std::uint32_t>& hosts = this->view->hostsFor(service, *group).hosts;
    return std::any_of(hosts.begin(), hosts.end(),
        [&](std::uint32_t index) { return &this->view->configuration().hosts[index] == own; });
}

std::string_view FlowAdmission::takeoverRefusal(std::uint64_t identifier, const FlowKey& key) const
{
    if (!this->view) {
        return "not_ready";
    }
    const Service* service = this->view->serviceById(identifier);
    if (service == nullptr || service->endpoint != key.service) {
        return admissionDropName(AdmissionDrop::WrongService);
    }
    if (this->isDraining()) {
        return admissionRefusalName(AdmissionRefusal::RefusedDraining);
    }
    if (!this->serves(*service, key.caller)) {
        return admissionRefusalName(AdmissionRefusal::RefusedNotSelected);
    }
    if (this->flows.liveCount() >= this->ownHost()->connections) {
        return admissionRefusalName(AdmissionRefusal::RefusedFull);
    }
    return "";
}

std::uint64_t FlowAdmission::configurationVersion() const { return this->view->configuration().version; }

AdmissionDecision FlowAdmission::decide(TimePoint now, const Endpoint& source, wire::EnvelopeHeader& header,
    const PacketView& packet, std::chrono::milliseconds confirmationAge)
{
    if (!this->view || !this->view->isPeerDataAddress(source)) {
        return DropPacket { AdmissionDrop::UnknownPeer };
    }
    if (header.candidates(static_cast<int>(header.current())).incarnation() != this->incarnation) {
        return DropPacket { AdmissionDrop::WrongIncarnation };
    }
    const Service* service = this->view->serviceById(header.service_id());
    if (service == nullptr || service->endpoint != packet.destination) {
        return DropPacket { AdmissionDrop::WrongService };
    }
    const Flow* flow = this->flows.find(keyOf(packet));
    if (flow != nullptr && !completedByOtherHost(*flow, packet)) {
        return DeliverPacket {};
    }
    if (packet.isFirst()) {
        return this->decideFirstPacket(*service, header, packet);
    }
    AdmissionDecision decision = this->decideLaterPacket(now, header, packet, confirmationAge);
    if (flow != nullptr) {
        if (auto* forward = std::get_if<ForwardPacket>(&decision)) {
            forward->removeHalfOpen = true;
        } else {
            // The flow was half-open here until now, so it has not been unknown long enough for a reset.
            decision = DropPacket { AdmissionDrop::FlowUnknown, true };
        }
    }
    return decision;
}

AdmissionDecision FlowAdmission::decideFirstPacket(
    const Service& service, wire::EnvelopeHeader& header, const PacketView& packet)
{
    const bool selected = this->serves(service, packet.source);
    const bool leaving = this->isDraining();
    if (selected && !leaving && this->flows.liveCount() < this->ownHost()->connections) {
        this->unknownFlows.forget(keyOf(packet));
        return AdmitFlow { service.id };
    }
    const std::uint64_t senderVersion = header.configuration_version();
    if (const auto next = this->advanceToNextCandidate(header, packet)) {
        return ForwardPacket { *next };
    }
    if (leaving) {
        return ResetFlow { AdmissionRefusal::RefusedDraining };
    }
    if (selected) {
        return ResetFlow { AdmissionRefusal::RefusedFull };
    }
    // The sender has a newer configuration that selects this host. It has not arrived here yet; the caller retransmits
    // its first packet until it does.
    if (senderVersion > this->configurationVersion()) {
        return DropPacket { AdmissionDrop::NotSelected };
    }
    return ResetFlow { AdmissionRefusal::RefusedNotSelected };
}

AdmissionDecision FlowAdmission::decideLaterPacket(
    TimePoint now, wire::EnvelopeHeader& header, const PacketView& packet, std::chrono::milliseconds confirmationAge)
{
    const std::uint64_t senderVersion = header.configuration_version();
    if (const auto next = this->advanceToNextCandidate(header, packet)) {
        return ForwardPacket { *next };
    }
    const std::chrono::milliseconds unknownFor = this->unknownFlows.record(now, keyOf(packet));
    const bool current = confirmationAge <= maximumConfirmationAge && senderVersion <= this->configurationVersion();
    if (!current || unknownFor < resetDelay || packet.reset) {
        return DropPacket { AdmissionDrop::FlowUnknown };
    }
    this->unknownFlows.forget(keyOf(packet));
    return ResetFlow { AdmissionRefusal::FlowUnknown };
}

std::optional<Endpoint> FlowAdmission::advanceToNextCandidate(wire::EnvelopeHeader& header, const PacketView& packet)
{
    const std::uint32_t next = header.current() + 1;
    if (next < static_cast<std::uint32_t>(header.candidates_size())) {
        header.set_current(next);
        return addressOf(header.candidates(static_cast<int>(next)));
    }
    if (this->configurationVersion() > header.configuration_version()) {
        return this->recomputeCandidates(header, packet);
    }
    return std::nullopt;
}

// Replaces the candidates by those of the newer configuration held here, without the ones already in the header. The
// version in the header increases with each new ranking, so that packets are not forwarded in a loop.
std::optional<Endpoint> FlowAdmission::recomputeCandidates(wire::EnvelopeHeader& header, const PacketView& packet)
{
    wire::EnvelopeHeader ranked;
    if (std::holds_alternative<RoutingFault>(this->router->route(packet, ranked))) {
        return std::nullopt;
    }
    wire::EnvelopeHeader remaining = ranked;
    remaining.clear_candidates();
    for (const wire::Candidate& candidate : ranked.candidates()) {
        if (!contains(header, candidate)) {
            *remaining.add_candidates() = candidate;
        }
    }
    if (remaining.candidates_size() == 0) {
        return std::nullopt;
    }
    remaining.set_current(0);
    header = remaining;
    return addressOf(header.candidates(0));
}

}
