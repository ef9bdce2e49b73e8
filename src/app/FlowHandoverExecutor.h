#pragma once

#include "coordination/FlowHandover.h"
#include "coordination/PeerIdentity.h"
#include "protocol/Endpoint.h"
#include "state/FlowKey.h"
#include "transport/TcpFlowState.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

namespace wire {
class FlowState;
class Handover;
class HandoverAnswer;
class PeerMessage;
}

class ConfigurationView;
class FlowAdmission;
class FlowTable;
class HttpEdge;
class Metrics;
class TcpStack;

// Carries out the handover of idle flows between agents: freezes a flow while its handover is pending, sends its state
// to the other agent, and holds the packets that arrive in the meantime.
class FlowHandoverExecutor {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using MessageSender = std::function<bool(const Endpoint& peer, wire::PeerMessage)>;
    // Processes a datagram as if it had just arrived; its bytes are valid during the call.
    using Replay = std::function<void(TimePoint, const Endpoint& source, std::span<const std::uint8_t> datagram)>;

    // self: name of this instance. All references must outlive this object.
    FlowHandoverExecutor(
        std::string self, FlowTable&, FlowAdmission&, TcpStack&, HttpEdge&, Metrics&, MessageSender, Replay);

    void viewChanged(std::shared_ptr<const ConfigurationView>);

    // Offers the idle connections of a draining agent to other hosts and repeats unanswered messages. Call every few
    // milliseconds during a drain.
    void poll(TimePoint);

    // Keeps a copy of a packet while the handover of its flow is pending; packets over the limit per flow are dropped.
    // Returns false when no handover of the flow is pending.
    bool holdPacket(const FlowKey&, const Endpoint& source, std::span<const std::uint8_t> datagram);

    // Handles Handover and HandoverAnswer.
    void messageReceived(TimePoint, const wire::PeerMessage&);

    // Removes the handover state of flows that are no longer in the flow table.
    void reconcile();

private:
    struct HeldDatagram {
        Endpoint source;
        std::vector<std::uint8_t> bytes;
    };

    struct FrozenFlow {
        std::uint64_t connection { 0 };
        std::uint64_t serviceId { 0 };
        TcpFlowState state;
        std::vector<HeldDatagram> held;
    };

    // A flow that was taken over and the agent that handed it over, so that a repeated message gets the same answer.
    struct TakenOverFlow {
        PeerIdentity from;
        std::uint64_t handover { 0 };
        std::uint64_t connection { 0 };
    };

    void execute(TimePoint, const HandoverActions&);
    void carryOut(TimePoint, const SendHandover&);
    void carryOut(TimePoint, const FlowHandedOver&);
    void carryOut(TimePoint, const KeepFlow&);
    void replayHeld(TimePoint, const std::vector<HeldDatagram>&);
    void takeOver(TimePoint, const PeerIdentity& from, const wire::Handover&);
    // Returns the reason why the flow is refused; empty when it was taken over.
    std::string tryTakeOver(TimePoint, const PeerIdentity& from, const wire::Handover&);
    void withdraw(const PeerIdentity& from, const wire::Handover&);
    std::optional<Endpoint> peerAddressOf(const PeerIdentity&) const;

    FlowTable& flows;
    FlowAdmission& admission;
    TcpStack& stack;
    HttpEdge& edge;
    Metrics& metrics;
    MessageSender sendMessage;
    Replay replay;
    FlowHandover handover;
    std::shared_ptr<const ConfigurationView> view;
    std::unordered_map<FlowKey, FrozenFlow, FlowKeyHash> frozen;
    std::unordered_map<FlowKey, TakenOverFlow, FlowKeyHash> takenOver;
};

}
