#include "Host.h"

#include <unistd.h>

namespace review {

namespace {

constexpr milliseconds firstRetransmission { 200 };
constexpr milliseconds longestRetransmission { 1600 };
constexpr int maximumRetransmissions = 8;

std::string requestId(const std::string& request)
{
    const std::string name = "X-Chicoryferry-Request-Id: ";
    const auto begin = request.find(name);
    if (begin == std::string::npos) {
        return "";
    }
    const auto value = begin + name.size();
    return request.substr(value, request.find('\r', value) - value);
}

}

Host::Host(Loop& eventLoop, Record& runRecord, std::string hostId, const Address& application, const Address& agent,
    milliseconds workTime)
    : loop(eventLoop)
    , record(runRecord)
    , id(std::move(hostId))
    , outbound(agent)
    , work(workTime)
    , socket(openUdp(application))
{
    this->loop.watch(this->socket, [this] { this->receive(); });
}

Host::~Host() { this->exit(); }

void Host::exit()
{
    if (this->socket >= 0) {
        this->loop.forget(this->socket);
        close(this->socket);
        this->socket = -1;
        this->flows.clear();
    }
}

bool Host::holdsOpen(const FlowEnds& ends) const
{
    const auto found = this->flows.find(ends);
    return found != this->flows.end() && found->second.state == State::Open;
}

void Host::receive()
{
    while (this->socket >= 0) {
        const auto packet = receiveUdp(this->socket);
        if (!packet) {
            return;
        }
        this->handle(*packet);
    }
}

void Host::send(const FlowEnds& ends, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
    const std::string& data)
{
    Packet packet;
    packet.sequence = sequence;
    packet.acknowledgement = acknowledgement;
    packet.source = ends.route;
    packet.destination = ends.caller;
    packet.flags = flags;
    packet.data = data;
    packet.sum = sumOf(packet);
    sendUdp(this->socket, this->outbound, packet);
}

void Host::giveBack(const Packet& packet)
{
    Packet returned = packet;
    returned.flags = static_cast<std::uint8_t>(packet.flags | Packet::bounced);
    this->record.line(
        "host " + this->id + " returns a packet of " + text(FlowEnds { packet.source, packet.destination }));
    sendUdp(this->socket, this->outbound, returned);
}

void Host::handleOpening(const FlowEnds& ends, const Packet& packet)
{
    const auto found = this->flows.find(ends);
    if (found != this->flows.end() && found->second.state == State::Open) {
        this->giveBack(packet);
        return;
    }
    if (this->synHandler) {
        this->synHandler(ends);
    }
    if (found == this->flows.end() || found->second.state == State::Ended) {
        Flow flow;
        flow.firstSequence = static_cast<std::uint32_t>(this->random());
        flow.sendNext = flow.firstSequence + 1;
        flow.receiveNext = packet.sequence + 1;
        this->flows[ends] = flow;
    }
    const Flow& flow = this->flows[ends];
    this->send(ends, Packet::syn | Packet::ack, flow.firstSequence, flow.receiveNext);
}

void Host::handle(const Packet& packet)
{
    const FlowEnds ends { packet.source, packet.destination };
    if (packet.has(Packet::syn)) {
        this->handleOpening(ends, packet);
        return;
    }
    const auto found = this->flows.find(ends);
    if (found == this->flows.end()) {
        this->giveBack(packet);
        return;
    }
    Flow& flow = found->second;
    if (packet.has(Packet::rst)) {
        this->flows.erase(found);
        return;
    }
    if (flow.state == State::Ended) {
        if (packet.has(Packet::fin)) {
            this->send(ends, Packet::ack, flow.sendNext, flow.receiveNext);
        } else if (!packet.data.empty()) {
            this->send(ends, Packet::rst | Packet::ack, flow.sendNext, flow.receiveNext);
        }
        return;
    }
    if (flow.state == State::HalfOpen) {
        if (!packet.has(Packet::ack) || packet.acknowledgement != flow.firstSequence + 1) {
            this->giveBack(packet);
            return;
        }
        flow.state = State::Open;
        this->record.line("host " + this->id + " has the end of the handshake of " + text(ends));
    }
    this->handleData(ends, flow, packet);
}

void Host::handleData(const FlowEnds& ends, Flow& flow, const Packet& packet)
{
    if (packet.has(Packet::ack) && packet.acknowledgement == flow.sendNext) {
        flow.lastAnswer.clear();
    }
    const auto length = static_cast<std::uint32_t>(packet.data.size()) + (packet.has(Packet::fin) ? 1U : 0U);
    if (length == 0) {
        return;
    }
    if (packet.sequence != flow.receiveNext) {
        this->send(ends, Packet::ack, flow.sendNext, flow.receiveNext);
        return;
    }
    flow.receiveNext += length;
    this->send(ends, Packet::ack, flow.sendNext, flow.receiveNext);
    if (!packet.data.empty()) {
        const std::string request = requestId(packet.data);
        this->record.line("host " + this->id + " runs request " + request + " of " + text(ends));
        if (this->runHandler) {
            this->runHandler(ends, request);
        }
        this->loop.after(this->work, [this, ends, request] { this->answer(ends, request); });
    }
    if (packet.has(Packet::fin) && !flow.finished) {
        flow.finished = true;
        this->send(ends, Packet::fin | Packet::ack, flow.sendNext, flow.receiveNext);
        ++flow.sendNext;
        flow.state = State::Ended;
    }
}

void Host::answer(const FlowEnds& ends, const std::string& request)
{
    const auto found = this->flows.find(ends);
    if (found == this->flows.end() || found->second.state != State::Open) {
        return;
    }
    Flow& flow = found->second;
    const std::string body = "done " + request;
    flow.lastAnswer = "HTTP/1.1 200 OK\r\nX-Chicoryferry-Response-Stamp: " + request
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    flow.lastAnswerSequence = flow.sendNext;
    flow.sendNext += static_cast<std::uint32_t>(flow.lastAnswer.size());
    this->retransmit(ends, flow.lastAnswerSequence, 0, firstRetransmission);
}

void Host::retransmit(const FlowEnds& ends, std::uint32_t sequence, int attempt, milliseconds interval)
{
    const auto found = this->flows.find(ends);
    if (this->socket < 0 || found == this->flows.end() || found->second.lastAnswer.empty()
        || found->second.lastAnswerSequence != sequence || attempt > maximumRetransmissions) {
        return;
    }
    this->send(ends, Packet::ack, sequence, found->second.receiveNext, found->second.lastAnswer);
    this->loop.after(interval, [this, ends, sequence, attempt, interval] {
        this->retransmit(ends, sequence, attempt + 1, std::min(interval * 2, longestRetransmission));
    });
}

}
