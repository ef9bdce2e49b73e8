#include "Caller.h"

#include <algorithm>

namespace review {

namespace {

constexpr Milliseconds firstCopy { 200 };
constexpr Milliseconds secondCopy { 600 };
constexpr Milliseconds openingLimit { 1400 };

// One way between the consumers and the system, as the users' sheet states it.
constexpr Milliseconds delayOfLink { 1 };

}

std::string resultName(Attempt::Result result)
{
    switch (result) {
    case Attempt::Result::Pending:
        return "pending";
    case Attempt::Result::Answered:
        return "answered";
    case Attempt::Result::Reset:
        return "reset";
    case Attempt::Result::NeverOpened:
        return "never opened";
    case Attempt::Result::NoAnswer:
        return "no answer";
    }
    return "";
}

Caller::Caller(const Address& callerAddress, Milliseconds budget, Record& caseRecord, Router routerOfZone)
    : address(callerAddress)
    , timeBudget(budget)
    , record(caseRecord)
    , router(std::move(routerOfZone))
    , socket(callerAddress)
    , random(callerAddress.ip)
    , thread([this] { this->run(); })
{
}

Caller::~Caller()
{
    this->stopping = true;
    this->thread.join();
}

void Caller::emit(const Flow& flow, std::uint32_t sequence, std::uint32_t acknowledgement, std::uint8_t flags,
    const std::string& payload) const
{
    Packet packet;
    packet.source = flow.attempt.caller;
    packet.destination = flow.attempt.service;
    packet.sequence = sequence;
    packet.acknowledgement = acknowledgement;
    packet.flags = flags;
    packet.payload = payload;
    this->outgoing.push_back({ Clock::now() + delayOfLink, encode(packet) });
}

void Caller::send(const std::string& request, const std::string& method, const Address& service)
{
    const std::lock_guard lock(this->mutex);
    const auto now = Clock::now();
    Flow& flow = this->flows[this->nextPort];
    flow.attempt.request = request;
    flow.attempt.service = service;
    flow.attempt.caller = { this->address.ip, this->nextPort++ };
    flow.attempt.sentAt = now;
    flow.payload = method + " /work HTTP/1.1\r\nHost: " + formatAddress(service)
        + "\r\nX-Chicoryferry-Request-Id: " + request + "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n";
    flow.sequence = static_cast<std::uint32_t>(this->random());
    flow.nextTransmission = now;
    this->transmit(flow, now);
}

void Caller::transmit(Flow& flow, Clock::time_point now)
{
    Attempt& attempt = flow.attempt;
    if (attempt.result != Attempt::Result::Pending) {
        return;
    }
    const auto age = now - attempt.sentAt;
    if (!attempt.opened && age >= openingLimit) {
        this->end(flow, Attempt::Result::NeverOpened, now);
        return;
    }
    if (age >= this->timeBudget) {
        this->end(flow, Attempt::Result::NoAnswer, now);
        return;
    }
    if (now < flow.nextTransmission || flow.requestAcknowledged) {
        return;
    }
    if (!attempt.opened) {
        // `ack` counts the copies of the SYN.
        this->emit(flow, flow.sequence, static_cast<std::uint32_t>(flow.transmissions), Packet::syn, "");
        ++flow.transmissions;
        flow.nextTransmission = attempt.sentAt
            + (flow.transmissions == 1        ? firstCopy
                    : flow.transmissions == 2 ? secondCopy
                                              : openingLimit);
        return;
    }
    this->emit(flow, flow.sequence + 1, flow.expected, Packet::ack, flow.payload);
    flow.nextTransmission = now + Milliseconds(200) * (1 << std::min(flow.transmissions, 3));
    ++flow.transmissions;
}

void Caller::end(Flow& flow, Attempt::Result result, Clock::time_point now)
{
    Attempt& attempt = flow.attempt;
    attempt.result = result;
    attempt.endedAt = now;
    this->record.line("request " + attempt.request + " sent at "
        + std::to_string(this->record.elapsed(attempt.sentAt).count()) + " from " + formatAddress(attempt.caller)
        + " ends: " + resultName(result) + (attempt.resetBySystem ? " by the system" : "")
        + (attempt.answer.empty() ? "" : ", body: " + attempt.answer));
}

void Caller::handle(const Packet& packet)
{
    const auto found = this->flows.find(packet.destination.port);
    if (found == this->flows.end()) {
        return;
    }
    Flow& flow = found->second;
    Attempt& attempt = flow.attempt;
    const auto now = Clock::now();
    if (packet.source != attempt.service) {
        return;
    }
    if (attempt.result != Attempt::Result::Pending) {
        // A host that repeats its answer has missed the acknowledgement.
        if (attempt.result == Attempt::Result::Answered && packet.has(Packet::fin)) {
            this->emit(flow, flow.sequence + 1 + static_cast<std::uint32_t>(flow.payload.size()), flow.expected,
                Packet::ack | Packet::fin, "");
        }
        return;
    }
    if (packet.has(Packet::rst)) {
        attempt.resetBySystem = packet.systemReset;
        this->end(flow, Attempt::Result::Reset, now);
        return;
    }
    if (packet.has(Packet::syn)) {
        if (!attempt.opened) {
            attempt.opened = true;
            flow.expected = packet.sequence + 1;
            flow.transmissions = 0;
            flow.nextTransmission = now;
            this->transmit(flow, now);
        }
        return;
    }
    if (!attempt.opened) {
        return;
    }
    if (packet.acknowledgement == flow.sequence + 1 + flow.payload.size()) {
        flow.requestAcknowledged = true;
    }
    if (!packet.payload.empty() && packet.sequence == flow.expected) {
        flow.expected += static_cast<std::uint32_t>(packet.payload.size()) + (packet.has(Packet::fin) ? 1 : 0);
        const auto body = packet.payload.find("\r\n\r\n");
        attempt.answer = body == std::string::npos ? "" : packet.payload.substr(body + 4);
        this->emit(flow, flow.sequence + 1 + static_cast<std::uint32_t>(flow.payload.size()), flow.expected,
            Packet::ack | Packet::fin, "");
        this->end(flow, Attempt::Result::Answered, now);
    }
}

void Caller::receive(Clock::time_point now)
{
    Address from;
    while (auto bytes = this->socket.receive(Milliseconds(0), from)) {
        this->incoming.push_back({ now + delayOfLink, std::move(*bytes) });
    }
}

void Caller::deliver(Clock::time_point now)
{
    for (; !this->incoming.empty() && this->incoming.front().arrival <= now; this->incoming.pop_front()) {
        const auto packet = decode(this->incoming.front().bytes);
        if (packet && packet->sumValid) {
            this->handle(*packet);
        } else {
            this->record.line("MIXED: a caller got a packet that no host wrote so");
        }
    }
    for (; !this->outgoing.empty() && this->outgoing.front().arrival <= now; this->outgoing.pop_front()) {
        const Bytes& bytes = this->outgoing.front().bytes;
        if (const auto packet = decode(bytes)) {
            this->socket.send(this->router(packet->source), bytes);
        }
    }
}

void Caller::run()
{
    while (!this->stopping) {
        std::this_thread::sleep_for(std::chrono::microseconds(200));
        const std::lock_guard lock(this->mutex);
        const auto now = Clock::now();
        this->receive(now);
        this->deliver(now);
        for (auto& [port, flow] : this->flows) {
            this->transmit(flow, now);
        }
    }
}

void Caller::finish()
{
    for (;;) {
        {
            const std::lock_guard lock(this->mutex);
            const bool pending = std::any_of(this->flows.begin(), this->flows.end(),
                [](const auto& item) { return item.second.attempt.result == Attempt::Result::Pending; });
            if (!pending) {
                return;
            }
        }
        std::this_thread::sleep_for(Milliseconds(10));
    }
}

std::vector<Attempt> Caller::attempts() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<Attempt> result;
    for (const auto& [port, flow] : this->flows) {
        result.push_back(flow.attempt);
    }
    return result;
}

}
