#include "Caller.h"

#include <algorithm>
#include <cstdlib>

namespace review {

namespace {

constexpr milliseconds firstCopy { 200 };
constexpr milliseconds secondCopy { 600 };
constexpr milliseconds openingLimit { 1400 };
constexpr milliseconds firstRetransmission { 200 };
constexpr milliseconds longestRetransmission { 1600 };

// A reset counts only with a sequence number this close to the caller's last acknowledgement.
constexpr std::int64_t resetWindow = 76800;

}

Caller::Caller(
    Loop& eventLoop, Record& runRecord, const Address& ownAddress, const Address& serviceRoute, Router packetRouter)
    : loop(eventLoop)
    , record(runRecord)
    , address(ownAddress)
    , route(serviceRoute)
    , router(std::move(packetRouter))
    , socket(openUdp(ownAddress))
{
    this->loop.watch(this->socket, [this] { this->receive(); });
}

Call& Caller::start(Call call)
{
    const std::uint16_t port = this->nextPort++;
    call.ends = { { this->address.ip, port }, this->route };
    call.balancer = this->router(call.ends);
    call.startedAt = this->record.now();
    this->allCalls.push_back(std::make_unique<Call>(std::move(call)));
    Flow& flow = this->flows[port];
    flow.call = this->allCalls.back().get();
    flow.firstSequence = static_cast<std::uint32_t>(this->random());
    flow.sendNext = flow.firstSequence + 1;
    this->sendOpening(port, 0);
    this->loop.after(firstCopy, [this, port] { this->sendOpening(port, 1); });
    this->loop.after(secondCopy, [this, port] { this->sendOpening(port, 2); });
    this->loop.after(openingLimit, [this, port] {
        Flow& opening = this->flows[port];
        if (!opening.call->opened && !opening.call->ended) {
            opening.call->ended = true;
            this->record.line("caller gives up opening " + opening.call->id);
        }
    });
    return *flow.call;
}

void Caller::send(const Flow& flow, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
    const std::string& data)
{
    Packet packet;
    packet.sequence = sequence;
    packet.acknowledgement = acknowledgement;
    packet.source = flow.call->ends.caller;
    packet.destination = flow.call->ends.route;
    packet.flags = flags;
    packet.data = data;
    packet.sum = sumOf(packet);
    sendUdp(this->socket, this->router(flow.call->ends), packet);
}

void Caller::sendOpening(std::uint16_t port, std::uint32_t copy)
{
    const Flow& flow = this->flows[port];
    if (flow.call->opened || flow.call->ended) {
        return;
    }
    this->record.line("caller sends opening packet " + std::to_string(copy) + " of " + flow.call->id + ", flow "
        + text(flow.call->ends) + ", to balancer " + text(this->router(flow.call->ends)));
    this->send(flow, Packet::syn, flow.firstSequence, copy);
}

void Caller::receive()
{
    while (const auto packet = receiveUdp(this->socket)) {
        this->handle(*packet);
    }
}

void Caller::handleReset(Flow& flow, const Packet& packet)
{
    const auto distance = static_cast<std::int64_t>(static_cast<std::int32_t>(packet.sequence - flow.receiveNext));
    if (flow.call->opened && std::llabs(distance) > resetWindow) {
        return;
    }
    flow.call->ended = true;
    flow.call->resetBySystem = packet.sum == 0;
    flow.call->resetByHost = packet.sum != 0;
    this->record.line("caller gets a reset of " + flow.call->id + " from "
        + (packet.sum == 0 ? "the system" : "its host") + (flow.call->opened ? ", flow open" : ", flow not open"));
    if (flow.call->opened && packet.sum == 0 && this->resetHandler) {
        this->resetHandler(*flow.call);
    }
}

void Caller::handle(const Packet& packet)
{
    const auto found = this->flows.find(packet.destination.port);
    if (found == this->flows.end() || found->second.call->ended) {
        return;
    }
    Flow& flow = found->second;
    if (packet.has(Packet::rst)) {
        this->handleReset(flow, packet);
        return;
    }
    if (packet.has(Packet::syn)) {
        if (!flow.call->opened) {
            flow.call->opened = true;
            flow.receiveNext = packet.sequence + 1;
            this->send(flow, Packet::ack, flow.sendNext, flow.receiveNext);
            this->scheduleRequest(found->first);
        }
        return;
    }
    if (!packet.data.empty()) {
        this->handleAnswer(flow, packet);
    }
}

void Caller::handleAnswer(Flow& flow, const Packet& packet)
{
    if (packet.sequence == flow.receiveNext) {
        flow.receiveNext += static_cast<std::uint32_t>(packet.data.size());
        flow.pending.clear();
        ++flow.call->answered;
        this->record.line("caller gets the answer to " + flow.call->id + "." + std::to_string(flow.number));
        if (flow.number < flow.call->pauses.size()) {
            this->send(flow, Packet::ack, flow.sendNext, flow.receiveNext);
            this->scheduleRequest(flow.call->ends.caller.port);
        } else {
            this->send(flow, Packet::fin | Packet::ack, flow.sendNext, flow.receiveNext);
            ++flow.sendNext;
            flow.call->ended = true;
        }
        return;
    }
    this->send(flow, Packet::ack, flow.sendNext, flow.receiveNext);
}

void Caller::scheduleRequest(std::uint16_t port)
{
    const Flow& flow = this->flows[port];
    this->loop.after(flow.call->pauses[flow.number], [this, port] { this->sendRequest(port); });
}

void Caller::sendRequest(std::uint16_t port)
{
    Flow& flow = this->flows[port];
    if (flow.call->ended) {
        return;
    }
    ++flow.number;
    ++flow.call->sent;
    const std::string id = flow.call->id + "." + std::to_string(flow.number);
    flow.pending = "POST /corrections HTTP/1.1\r\nHost: job-desk\r\nX-Chicoryferry-Request-Id: " + id
        + "\r\nContent-Length: 10\r\n\r\ncorrection";
    flow.pendingSequence = flow.sendNext;
    flow.sendNext += static_cast<std::uint32_t>(flow.pending.size());
    this->record.line("caller sends request " + id);
    this->retransmit(port, flow.number, firstRetransmission);
    const std::size_t number = flow.number;
    this->loop.after(flow.call->budget, [this, port, number, id] {
        Flow& late = this->flows[port];
        if (!late.call->ended && late.number == number && !late.pending.empty()) {
            late.call->ended = true;
            this->record.line("caller gives up request " + id + " at the end of its time budget");
        }
    });
}

void Caller::retransmit(std::uint16_t port, std::size_t number, milliseconds interval)
{
    const Flow& flow = this->flows[port];
    if (flow.call->ended || flow.number != number || flow.pending.empty()) {
        return;
    }
    this->send(flow, Packet::ack, flow.pendingSequence, flow.receiveNext, flow.pending);
    this->loop.after(interval, [this, port, number, interval] {
        this->retransmit(port, number, std::min(interval * 2, longestRetransmission));
    });
}

}
