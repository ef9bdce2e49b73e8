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

// Carries out the handover of idle flows between agents: it freezes flows that are on their way, moves their state, and
// holds the packets that arrive in between.
class FlowTransfer {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using MessageSender = std::function<bool(const Endpoint& peer, wire::PeerMessage)>;
    // Processes a datagram as if it had just arrived; its bytes are valid during the call.
    using Replay = std::function<void(TimePoint, const Endpoint& source, std::span<const std::uint8_t> datagram)>;

    // self: the instance of this agent. All references must outlive this object.
    FlowTransfer(std::string self, FlowTable&, FlowAdmission&, TcpStack&, HttpEdge&, Metrics&, MessageSender, Replay);

    void viewChanged(std::shared_ptr<const ConfigurationView>);

    // Offers the idle connections of a leaving agent to other hosts and repeats what was not answered. Called every
    // few milliseconds during a drain.
    void poll(TimePoint);

    // Keeps a copy of a packet whose flow is on its way, for up to a few packets a flow. Returns false when the flow is
    // not on its way.
    bool holdPacket(const FlowKey&, const Endpoint& source, std::span<const std::uint8_t> datagram);

    // Handover and HandoverAnswer.
    void messageReceived(TimePoint, const wire::PeerMessage&);

    // Forgets what concerns flows that are no longer held.
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

    // A flow that was taken over, and from whom, so that a repeated message is answered in the same way.
    struct TakenFlow {
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
    // Returns the reason for which the flow is refused; empty when it was taken.
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
    std::unordered_map<FlowKey, TakenFlow, FlowKeyHash> taken;
};

}
