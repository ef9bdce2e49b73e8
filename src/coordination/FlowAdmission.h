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

// The counter label of a reason.
std::string_view admissionDropName(AdmissionDrop);
std::string_view admissionRefusalName(AdmissionRefusal);

// Decides for each packet that reaches an agent whether the agent owns its flow, admits it, passes it on, drops it or
// resets it. No input, output or clock.
class FlowAdmission {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // A configuration confirmed longer ago than this may hide the owner of a flow, so no flow is reset on it.
    static constexpr std::chrono::milliseconds freshConfiguration = std::chrono::seconds(5);

    // Longer than the 5 s in which a configuration is in force everywhere, so that a newer owner is known by then.
    static constexpr std::chrono::milliseconds resetDelay = std::chrono::seconds(6);

    // Flows whose time of first miss is remembered.
    static constexpr std::size_t unknownFlowLimit = 4096;

    // Longer than two waits of a caller that retransmits with doubled waits.
    static constexpr std::chrono::milliseconds unknownFlowExpiry = std::chrono::seconds(60);

    // instance, incarnation: this agent. The table must outlive this object.
    FlowAdmission(std::string instance, std::uint64_t incarnation, const FlowTable&);

    void viewChanged(std::shared_ptr<const ConfigurationView>);

    // From now on no flow is admitted.
    void startDraining() { this->draining = true; }

    // True when this host admits no new flow, by its own decision, the document or the instance list.
    bool isDraining() const;

    // source: sender of the envelope. header: updated when the packet is to be passed on. confirmationAge: time since
    // the configuration was last confirmed as current.
    AdmissionDecision decide(TimePoint, const Endpoint& source, wire::EnvelopeHeader& header, const PacketView&,
        std::chrono::milliseconds confirmationAge);

    // The flow was taken over, so that its earlier misses no longer count.
    void flowAdopted(const FlowKey& key) { this->unknownFlows.forget(key); }

    // Why this host does not take over the established flow of a leaving one; empty when it does.
    std::string_view takeoverRefusal(std::uint64_t serviceId, const FlowKey&) const;

private:
    const Host* ownHost() const;
    bool serves(const Service&, const Endpoint& caller) const;
    AdmissionDecision decideFirst(const Service&, wire::EnvelopeHeader&, const PacketView&);
    AdmissionDecision decideLater(
        TimePoint, wire::EnvelopeHeader&, const PacketView&, std::chrono::milliseconds confirmationAge);
    std::optional<Endpoint> advance(wire::EnvelopeHeader&, const PacketView&);
    std::optional<Endpoint> rankAgain(wire::EnvelopeHeader&, const PacketView&);
    std::uint64_t ownVersion() const;

    std::string instance;
    std::uint64_t incarnation;
    const FlowTable& flows;
    std::shared_ptr<const ConfigurationView> view;
    std::unique_ptr<PacketRouter> router;
    UnknownFlows unknownFlows { unknownFlowLimit, unknownFlowExpiry };
    bool draining { false };
};

}
