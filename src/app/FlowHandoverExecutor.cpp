#include "app/FlowHandoverExecutor.h"

#include "app/HttpEdge.h"
#include "coordination/FlowAdmission.h"
#include "messages.pb.h"
#include "state/ConfigurationView.h"
#include "state/FlowTable.h"
#include "support/Metrics.h"
#include "transport/TcpStack.h"

#include <utility>

namespace chicoryferry {

namespace {

constexpr const char* step = "hand over";

// Limit of concurrent unanswered handovers, to bound the burst of messages when an agent with many flows drains.
constexpr std::size_t maxPendingHandovers = 256;

// Limit of packets held per flow during its handover; TCP retransmits those that are dropped.
constexpr std::size_t maxHeldPackets = 8;

FlowKey keyOf(const wire::FlowState& state)
{
    return { { state.caller_address(), static_cast<std::uint16_t>(state.caller_port()) },
        { state.service_address(), static_cast<std::uint16_t>(state.service_port()) } };
}

void setAddresses(wire::FlowState& state, const FlowKey& key)
{
    state.set_caller_address(key.caller.address);
    state.set_caller_port(key.caller.port);
    state.set_service_address(key.service.address);
    state.set_service_port(key.service.port);
}

}

FlowHandoverExecutor::FlowHandoverExecutor(std::string self, FlowTable& flowTable, FlowAdmission& flowAdmission,
    TcpStack& tcpStack, HttpEdge& httpEdge, Metrics& processMetrics, MessageSender messageSender, Replay replayDatagram)
    : flows(flowTable)
    , admission(flowAdmission)
    , stack(tcpStack)
    , edge(httpEdge)
    , metrics(processMetrics)
    , sendMessage(std::move(messageSender))
    , replay(std::move(replayDatagram))
    , handover(std::move(self))
{
}

void FlowHandoverExecutor::viewChanged(std::shared_ptr<const ConfigurationView> newView)
{
    this->view = std::move(newView);
    this->handover.viewChanged(this->view);
}

void FlowHandoverExecutor::poll(TimePoint now)
{
    this->execute(now, this->handover.tick(now));
    for (const std::uint64_t connection : this->edge.idleConnections()) {
        if (this->handover.pendingCount() >= maxPendingHandovers) {
            return;
        }
        const auto summary = this->stack.flowOf(connection);
        if (!summary) {
            continue;
        }
        const FlowKey key { summary->remote, summary->local };
        const Flow* flow = this->flows.find(key);
        if (flow == nullptr || this->frozen.contains(key)) {
            continue;
        }
        auto state = this->stack.exportState(connection);
        if (!state) {
            continue;
        }
        this->frozen[key] = { connection, flow->serviceId, std::move(*state), {} };
        this->execute(now, this->handover.offer(now, key));
    }
}

void FlowHandoverExecutor::execute(TimePoint now, const HandoverActions& actions)
{
    for (const HandoverAction& action : actions) {
        std::visit([&](const auto& each) { this->carryOut(now, each); }, action);
    }
}

void FlowHandoverExecutor::carryOut(TimePoint, const SendHandover& action)
{
    const auto found = this->frozen.find(action.flow);
    if (found == this->frozen.end()) {
        return;
    }
    wire::PeerMessage message;
    wire::Handover& content = *message.mutable_handover();
    content.set_handover(action.handover);
    content.set_withdrawn(action.withdrawn);
    wire::FlowState& state = *content.mutable_flow();
    setAddresses(state, action.flow);
    state.set_service_id(found->second.serviceId);
    if (!action.withdrawn) {
        for (const std::uint32_t number : encodeFlowState(found->second.state)) {
            state.add_control_block(number);
        }
        state.set_unread(found->second.state.unread);
    }
    this->sendMessage(action.peerAddress, std::move(message));
}

void FlowHandoverExecutor::carryOut(TimePoint now, const FlowHandedOver& action)
{
    const auto node = this->frozen.extract(action.flow);
    if (node.empty()) {
        return;
    }
    this->edge.release(node.mapped().connection);
    this->stack.removeSilently(action.flow.service, action.flow.caller);
    this->flows.remove(action.flow);
    this->metrics.events("flow_handed_over").Increment();
    this->replayHeld(now, node.mapped().held);
}

void FlowHandoverExecutor::carryOut(TimePoint now, const KeepFlow& action)
{
    const auto node = this->frozen.extract(action.flow);
    if (node.empty()) {
        return;
    }
    this->metrics.refusals(step, "no_host_takes_flow").Increment();
    this->replayHeld(now, node.mapped().held);
    this->edge.endWhenIdle(now, node.mapped().connection);
}

void FlowHandoverExecutor::replayHeld(TimePoint now, const std::vector<HeldDatagram>& held)
{
    for (const HeldDatagram& datagram : held) {
        this->replay(now, datagram.source, datagram.bytes);
    }
}

bool FlowHandoverExecutor::holdPacket(
    const FlowKey& key, const Endpoint& source, std::span<const std::uint8_t> datagram)
{
    const auto found = this->frozen.find(key);
    if (found == this->frozen.end()) {
        return false;
    }
    if (found->second.held.size() < maxHeldPackets) {
        found->second.held.push_back({ source, { datagram.begin(), datagram.end() } });
    } else {
        this->metrics.drops(step, "too_many_held_packets").Increment();
    }
    return true;
}

void FlowHandoverExecutor::messageReceived(TimePoint now, const wire::PeerMessage& message)
{
    const PeerIdentity from { message.sender().instance(), message.sender().incarnation() };
    if (message.has_handover_answer()) {
        const wire::HandoverAnswer& answer = message.handover_answer();
        if (!answer.accepted()) {
            this->metrics.retries(step, answer.reason()).Increment();
        }
        this->execute(now, this->handover.answered(now, from, answer.handover(), answer.accepted()));
    } else if (message.has_handover() && message.handover().withdrawn()) {
        this->withdraw(from, message.handover());
    } else if (message.has_handover()) {
        this->takeOver(now, from, message.handover());
    }
}

void FlowHandoverExecutor::takeOver(TimePoint now, const PeerIdentity& from, const wire::Handover& message)
{
    const auto address = this->peerAddressOf(from);
    if (!address) {
        this->metrics.drops(step, "unknown_peer").Increment();
        return;
    }
    const std::string refusal = this->tryTakeOver(now, from, message);
    wire::PeerMessage reply;
    wire::HandoverAnswer& answer = *reply.mutable_handover_answer();
    answer.set_handover(message.handover());
    answer.set_accepted(refusal.empty());
    answer.set_reason(refusal);
    if (!refusal.empty()) {
        this->metrics.refusals(step, refusal).Increment();
    }
    this->sendMessage(*address, std::move(reply));
}

std::string FlowHandoverExecutor::tryTakeOver(TimePoint now, const PeerIdentity& from, const wire::Handover& message)
{
    const FlowKey key = keyOf(message.flow());
    const auto earlier = this->takenOver.find(key);
    if (earlier != this->takenOver.end() && earlier->second.from == from
        && earlier->second.handover == message.handover()) {
        return "";
    }
    std::string refusal(this->admission.takeoverRefusal(message.flow().service_id(), key));
    if (!refusal.empty()) {
        return refusal;
    }
    const auto& numbers = message.flow().control_block();
    const auto state
        = decodeFlowState({ numbers.data(), static_cast<std::size_t>(numbers.size()) }, message.flow().unread());
    if (!state) {
        return "bad_flow_state";
    }
    const auto connection = this->stack.importFlow(key.service, key.caller, *state);
    if (!connection) {
        return "flow_held";
    }
    this->flows.put(key, { message.flow().service_id(), FlowState::Open, 0 });
    this->admission.flowTakenOver(key);
    this->takenOver[key] = { from, message.handover(), *connection };
    this->metrics.events("flow_taken_over").Increment();
    const Service* service = this->view->serviceById(message.flow().service_id());
    this->edge.opened(now, *connection, service->name, key.caller);
    return "";
}

// A flow that is no longer idle stays here, because its caller already communicates with this host.
void FlowHandoverExecutor::withdraw(const PeerIdentity& from, const wire::Handover& message)
{
    const FlowKey key = keyOf(message.flow());
    const auto found = this->takenOver.find(key);
    if (found == this->takenOver.end() || found->second.from != from || found->second.handover != message.handover()) {
        return;
    }
    if (!this->edge.isIdle(found->second.connection)) {
        this->metrics.drops(step, "withdrawn_too_late").Increment();
        return;
    }
    this->edge.release(found->second.connection);
    this->stack.removeSilently(key.service, key.caller);
    this->flows.remove(key);
    this->takenOver.erase(found);
}

std::optional<Endpoint> FlowHandoverExecutor::peerAddressOf(const PeerIdentity& identity) const
{
    if (!this->view) {
        return std::nullopt;
    }
    const Instance* instance = this->view->instances().find(identity.instance);
    if (instance != nullptr && instance->incarnation == identity.incarnation) {
        return instance->peerAddress;
    }
    const Host* host = this->view->hostByName(identity.instance);
    if (host != nullptr && host->incarnation == identity.incarnation) {
        return host->peerAddress;
    }
    return std::nullopt;
}

void FlowHandoverExecutor::reconcile()
{
    std::erase_if(this->takenOver, [this](const auto& entry) { return this->flows.find(entry.first) == nullptr; });
    std::vector<FlowKey> gone;
    for (const auto& [key, flow] : this->frozen) {
        if (this->flows.find(key) == nullptr) {
            gone.push_back(key);
        }
    }
    for (const FlowKey& key : gone) {
        this->frozen.erase(key);
    }
}

}
