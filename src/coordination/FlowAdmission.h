#pragma once

#include "coordination/AdmissionDecision.h"
#include "coordination/PacketRouter.h"
#include "state/UnknownFlows.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace chicoryferry {

namespace wire {
class EnvelopeHeader;
}

class ConfigurationView;
class FlowTable;
struct Host;
struct PacketView;
struct Service;

// Metric label of a reason.
std::string_view admissionDropName(AdmissionDrop);
std::string_view admissionRefusalName(AdmissionRefusal);

// Decides for each packet that reaches an agent whether to deliver it, admit its flow, forward it to the next
// candidate, drop it or reset its flow. Performs no I/O and reads no clock.
class FlowAdmission {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // With a confirmation older than this, a newer configuration may name an owner of the flow that is not known here,
    // so no flow is reset.
    static constexpr std::chrono::milliseconds maximumConfirmationAge = std::chrono::seconds(5);

    // Time for which a flow has to be unknown before it is reset. Longer than the 5 s within which a configuration
    // takes effect everywhere, so that a newer owner is known by then.
    static constexpr std::chrono::milliseconds resetDelay = std::chrono::seconds(6);

    // Maximum number of unknown flows for which the time of the first packet is recorded.
    static constexpr std::size_t unknownFlowLimit = 4096;

    // Time after which the record of an unknown flow expires. Longer than two consecutive retransmission intervals of a
    // caller that doubles the interval each time.
    static constexpr std::chrono::milliseconds unknownFlowExpiry = std::chrono::seconds(60);

    // instance, incarnation: identity of this agent. The flow table must outlive this object.
    FlowAdmission(std::string instance, std::uint64_t incarnation, const FlowTable&);

    void viewChanged(std::shared_ptr<const ConfigurationView>);

    // Stops the admission of new flows.
    void startDraining() { this->draining = true; }

    // True if this host admits no new flows because of startDraining(), the configuration or the instance list.
    bool isDraining() const;

    // source: sender of the envelope. header: updated if the packet is to be forwarded. confirmationAge: time since the
    // configuration was last confirmed as current.
    AdmissionDecision decide(TimePoint, const Endpoint& source, wire::EnvelopeHeader& header, const PacketView&,
        std::chrono::milliseconds confirmationAge);

    // Call when this host has taken over the flow: discards the record that the flow was unknown.
    void flowTakenOver(const FlowKey& key) { this->unknownFlows.forget(key); }

    // Reason why this host does not take over the established flow of a leaving host; empty if it does.
    std::string_view takeoverRefusal(std::uint64_t serviceId, const FlowKey&) const;

private:
    const Host* ownHost() const;
    bool serves(const Service&, const Endpoint& caller) const;
    AdmissionDecision decideFirstPacket(const Service&, wire::EnvelopeHeader&, const PacketView&);
    AdmissionDecision decideLaterPacket(
        TimePoint, wire::EnvelopeHeader&, const PacketView&, std::chrono::milliseconds confirmationAge);
    std::optional<Endpoint> advanceToNextCandidate(wire::EnvelopeHeader&, const PacketView&);
    std::optional<Endpoint> recomputeCandidates(wire::EnvelopeHeader&, const PacketView&);
    std::uint64_t configurationVersion() const;

    std::string instance;
    std::uint64_t incarnation;
    const FlowTable& flows;
    std::shared_ptr<const ConfigurationView> view;
    std::unique_ptr<PacketRouter> router;
    UnknownFlows unknownFlows { unknownFlowLimit, unknownFlowExpiry };
    bool draining { false };
};

}
