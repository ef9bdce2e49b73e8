#include "Host.h"

#include <algorithm>

namespace review {

namespace {

constexpr std::size_t queueLength = 8;

// Returns the value of the header that names the request.
std::string requestId(const std::string& text)
{
    static const std::string header = "X-Chicoryferry-Request-Id: ";
    const auto found = text.find(header);
    if (found == std::string::npos) {
        return "";
    }
    const auto begin = found + header.size();
    return text.substr(begin, text.find('\r', begin) - begin);
}

}

Host::Host(HostPlan hostPlan, Store& metadataStore, Record& caseRecord, Observer hostObserver)
    : plan(std::move(hostPlan))
    , store(metadataStore)
    , record(caseRecord)
    , observer(std::move(hostObserver))
    , socket(this->plan.app)
    , born(std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count()
          + this->plan.clockError.count())
    , random(static_cast<std::mt19937::result_type>(this->born) ^ this->plan.app.ip)
    , thread([this] { this->run(); })
{
}

Host::~Host()
{
    this->stopping = true;
    if (this->thread.joinable()) {
        this->thread.join();
    }
}

void Host::drain()
{
    this->draining = true;
    while (!this->drainWritten) {
        std::this_thread::sleep_for(Milliseconds(1));
    }
}

void Host::crash()
{
    this->stopping = true;
    this->thread.join();
    this->record.line("host " + this->plan.id + " crashes");
}

void Host::exit()
{
    this->stopping = true;
    this->thread.join();
    for (const auto& [id, flow] : this->flows) {
        if (flow.requestTaken) {
            this->record.line("host " + this->plan.id + " exits with request " + flow.request + " in progress");
        }
    }
    this->store.remove("servers/" + this->plan.id);
    this->record.line("host " + this->plan.id + " has exited and its entry is removed");
}

std::string Host::entry(Clock::time_point now) const
{
    const auto age = std::chrono::duration_cast<Milliseconds>(now - this->startedAt);
    const auto cold = std::max(Milliseconds(0), this->plan.cold - age);
    return R"({"service":")" + this->plan.service + R"(","address":")" + formatAddress(this->plan.app) + R"(","zone":")"
        + this->plan.zone + R"(","version":"v1","slots":)" + std::to_string(this->plan.slots) + R"(,"state":")"
        + (this->draining ? "draining" : "ready") + R"(","cold-remaining-ms":)" + std::to_string(cold.count())
        + R"(,"born":)" + std::to_string(this->born) + R"(,"seq":1})";
}

// The store's item changes only when more than `seq` changes, so an unchanged entry is not written again.
void Host::ping(Clock::time_point now, bool force)
{
    if (!force && now < this->nextPing) {
        return;
    }
    this->nextPing = now + this->plan.heartbeat;
    std::string text = this->entry(now);
    if (text == this->lastEntry) {
        return;
    }
    this->lastEntry = text;
    const std::uint64_t revision = this->store.put("servers/" + this->plan.id, text);
    this->record.line(
        "store accepts entry of " + this->plan.id + " at revision " + std::to_string(revision) + ": " + text);
}

void Host::run()
{
    while (!this->stopping) {
        const bool drainNow = this->draining && !this->drainWritten;
        this->ping(Clock::now(), drainNow);
        if (drainNow) {
            this->drainWritten = true;
        }
        Address from;
        if (const auto bytes = this->socket.receive(Milliseconds(1), from)) {
            const auto packet = decode(*bytes);
            if (!packet || !packet->sumValid) {
                this->record.line("UNASKED: host " + this->plan.id + " got a packet that no caller wrote so");
            } else if (from.ip == this->plan.app.ip) {
                this->handle(*packet, *bytes);
            }
        }
        const auto now = Clock::now();
        this->finishRequests(now);
        this->startRequests(now);
        this->retransmit(now);
    }
}

void Host::bounce(Bytes bytes) const
{
    constexpr std::size_t flagsOffset = 28;
    constexpr std::size_t padOffset = 29;
    bytes[flagsOffset] = static_cast<std::uint8_t>(bytes[flagsOffset] | Packet::bounced);
    bytes[padOffset] = 0;
    this->socket.send(this->plan.outbound, bytes);
}

void Host::reply(const Flow& flow, std::uint32_t sequence, std::uint8_t flags, const std::string& payload) const
{
    Packet packet;
    packet.source = flow.service;
    packet.destination = flow.caller;
    packet.sequence = sequence;
    packet.acknowledgement = flow.expected;
    packet.flags = flags;
    packet.payload = payload;
    this->socket.send(this->plan.outbound, encode(packet));
}

void Host::observe(HostEvent::Kind kind, const Flow& flow) const
{
    this->observer({ kind, this->plan.id, flow.request, flow.caller, Clock::now(), true });
}

void Host::handleFirst(const Packet& packet, const Bytes& bytes)
{
    const FlowId id { packet.source, packet.destination };
    const auto known = this->flows.find(id);
    if (known == this->flows.end() && this->running + this->waiting.size() >= this->plan.slots + queueLength) {
        this->bounce(bytes);
        return;
    }
    Flow& flow = this->flows[id];
    if (known == this->flows.end()) {
        flow.caller = packet.source;
        flow.service = packet.destination;
        flow.ownSequence = static_cast<std::uint32_t>(this->random());
        flow.nextSequence = flow.ownSequence + 1;
        flow.expected = packet.sequence + 1;
    }
    this->reply(flow, flow.ownSequence, Packet::syn | Packet::ack, "");
}

void Host::handle(const Packet& packet, const Bytes& bytes)
{
    if (packet.has(Packet::syn)) {
        this->handleFirst(packet, bytes);
        return;
    }
    const FlowId id { packet.source, packet.destination };
    const auto found = this->flows.find(id);
    this->observer(
        { HostEvent::Kind::Packet, this->plan.id, "", packet.source, Clock::now(), found != this->flows.end() });
    if (found == this->flows.end()) {
        this->bounce(bytes);
        return;
    }
    Flow& flow = found->second;
    if (!flow.open && packet.acknowledgement != flow.ownSequence + 1) {
        this->bounce(bytes); // the caller has opened the flow at another host
        this->flows.erase(found);
        return;
    }
    if (!flow.open) {
        flow.open = true;
        this->observe(HostEvent::Kind::Opened, flow);
    }
    if (packet.has(Packet::rst)) {
        std::erase(this->waiting, id);
        if (flow.finishAt) {
            --this->running;
        }
        this->flows.erase(found);
        return;
    }
    if (flow.ended) {
        this->reply(flow, flow.nextSequence, packet.has(Packet::fin) ? Packet::ack : Packet::rst, "");
        return;
    }
    if (flow.answer && packet.acknowledgement == flow.nextSequence) {
        flow.answer.reset();
    }
    if (!packet.payload.empty() && packet.sequence == flow.expected && !flow.requestTaken && !flow.finished) {
        this->takeRequest(flow, id, packet);
    }
    if (packet.has(Packet::fin)) {
        flow.expected = packet.sequence + static_cast<std::uint32_t>(packet.payload.size()) + 1;
        flow.ended = flow.finished;
    }
    if (!packet.payload.empty() || packet.has(Packet::fin)) {
        this->reply(flow, flow.nextSequence, Packet::ack, "");
    }
}

void Host::takeRequest(Flow& flow, const FlowId& id, const Packet& packet)
{
    flow.expected += static_cast<std::uint32_t>(packet.payload.size());
    flow.requestTaken = true;
    flow.request = requestId(packet.payload);
    flow.closes = this->draining || packet.payload.find("Connection: close") != std::string::npos;
    flow.answer.reset(); // the caller has it, since it sends its next request
    this->waiting.push_back(id);
}

void Host::startRequests(Clock::time_point now)
{
    while (!this->waiting.empty() && this->running < this->plan.slots) {
        Flow& flow = this->flows.at(this->waiting.front());
        this->waiting.pop_front();
        ++this->running;
        flow.finishAt = now + this->plan.work;
        this->observe(HostEvent::Kind::Started, flow);
    }
}

void Host::finishRequests(Clock::time_point now)
{
    for (auto& [id, flow] : this->flows) {
        if (!flow.finishAt || *flow.finishAt > now) {
            continue;
        }
        flow.finishAt.reset();
        --this->running;
        flow.requestTaken = false;
        flow.finished = flow.closes;
        flow.transmissions = 0;
        const std::string body = "host " + this->plan.id + " request " + flow.request;
        Packet answer;
        answer.sequence = flow.nextSequence;
        answer.flags = flow.closes ? Packet::ack | Packet::fin : Packet::ack;
        answer.payload = "HTTP/1.1 200 OK\r\nX-Chicoryferry-Response-Stamp: " + this->plan.id + "\r\nContent-Length: "
            + std::to_string(body.size()) + (flow.closes ? "\r\nConnection: close" : "") + "\r\n\r\n" + body;
        flow.nextSequence += static_cast<std::uint32_t>(answer.payload.size()) + (flow.closes ? 1 : 0);
        flow.answer = answer;
        flow.nextTransmission = now;
        this->observe(HostEvent::Kind::Finished, flow);
    }
}

void Host::retransmit(Clock::time_point now)
{
    constexpr int limit = 9; // the first transmission and eight more
    for (auto& [id, flow] : this->flows) {
        if (!flow.answer || now < flow.nextTransmission) {
            continue;
        }
        if (flow.transmissions == limit) {
            flow.answer.reset();
            continue;
        }
        flow.nextTransmission
            = now + std::min(Milliseconds(200) * (1 << std::min(flow.transmissions, 3)), Milliseconds(1600));
        ++flow.transmissions;
        this->reply(flow, flow.answer->sequence, flow.answer->flags, flow.answer->payload);
    }
}

}
