#include "app/SteeringMessages.h"

#include "protocol/HeaderFrame.h"
#include "steering.pb.h"

#include <array>

namespace chicoryferry {

namespace {

constexpr std::size_t maximumHeaderBytes = 2048;

// Keeps a hello in one datagram. Agents of evacuated zones that are left out rely on the balancers.
constexpr std::size_t maximumZoneBytes = 1024;

// Upper bound for plausibility; a report with more slots is rejected as malformed.
constexpr std::uint32_t maximumSlots = 1'000'000;

constexpr std::array<std::pair<wire::FlowVerdict::Verdict, FlowVerdict>, 10> verdicts { {
    { wire::FlowVerdict::ADMITTED, FlowVerdict::Admitted },
    { wire::FlowVerdict::OWNED, FlowVerdict::Owned },
    { wire::FlowVerdict::REFUSED_FULL, FlowVerdict::RefusedFull },
    { wire::FlowVerdict::REFUSED_LEAVING, FlowVerdict::RefusedLeaving },
    { wire::FlowVerdict::REFUSED_BACKEND, FlowVerdict::RefusedByBackendServer },
    { wire::FlowVerdict::WRONG_SERVICE, FlowVerdict::WrongService },
    { wire::FlowVerdict::NOT_FOUND, FlowVerdict::NotFound },
    { wire::FlowVerdict::LOST, FlowVerdict::Lost },
    { wire::FlowVerdict::MAY_HOLD, FlowVerdict::MayHold },
    { wire::FlowVerdict::REFUSED_EVACUATED, FlowVerdict::RefusedEvacuated },
} };

wire::SteeredPacket::Purpose toWire(SteeringPurpose purpose)
{
    switch (purpose) {
    case SteeringPurpose::NewFlow:
        return wire::SteeredPacket::NEW_FLOW;
    case SteeringPurpose::Recover:
        return wire::SteeredPacket::RECOVER;
    case SteeringPurpose::KnownFlow:
        break;
    }
    return wire::SteeredPacket::KNOWN_FLOW;
}

SteeringPurpose fromWire(wire::SteeredPacket::Purpose purpose)
{
    switch (purpose) {
    case wire::SteeredPacket::NEW_FLOW:
        return SteeringPurpose::NewFlow;
    case wire::SteeredPacket::RECOVER:
        return SteeringPurpose::Recover;
    default:
        return SteeringPurpose::KnownFlow;
    }
}

FlowKey readFlow(const wire::SteeredFlow& flow)
{
    return { { flow.caller_address(), static_cast<std::uint16_t>(flow.caller_port()) },
        { flow.service_address(), static_cast<std::uint16_t>(flow.service_port()) } };
}

void writeFlow(const FlowKey& key, wire::SteeredFlow& flow)
{
    flow.set_caller_address(key.caller.address);
    flow.set_caller_port(key.caller.port);
    flow.set_service_address(key.service.address);
    flow.set_service_port(key.service.port);
}

std::optional<ReportMessage> readReport(const wire::AgentReport& report)
{
    if (report.slots() == 0 || report.slots() > maximumSlots) {
        return std::nullopt;
    }
    ReportMessage message;
    message.load = { report.lifetime(), report.sequence(), report.service(), report.slots(), report.working(),
        report.opening(), report.held(), report.held_late(), report.demand_percent(), report.long_running(),
        std::chrono::microseconds(report.mean_work_us()), report.leaving(), report.reports_changes(),
        std::chrono::milliseconds(report.start_wait_ms()) };
    message.balancers.assign(report.balancers().begin(), report.balancers().end());
    for (const wire::FlowVerdict& item : report.verdicts()) {
        for (const auto& [wireVerdict, verdict] : verdicts) {
            if (item.verdict() == wireVerdict) {
                message.verdicts.push_back({ readFlow(item.flow()), verdict });
            }
        }
    }
    return message;
}

}

SteeringMessages::SteeringMessages()
    : header(std::make_unique<wire::SteeringHeader>())
{
}

SteeringMessages::~SteeringMessages() = default;

std::size_t SteeringMessages::encodePacketHeader(const SteerPacket& packet, std::span<std::uint8_t> output)
{
    wire::SteeredPacket& steered = *this->header->mutable_packet();
    steered.set_purpose(toWire(packet.purpose));
    steered.set_service(packet.service);
    steered.set_wait_limit_ms(static_cast<std::uint32_t>(packet.waitLimit.count()));
    steered.set_priority(packet.priority);
    steered.set_late(packet.urgency == FlowUrgency::Late);
    steered.set_slots(packet.slots);
    steered.set_cold_remaining_ms(static_cast<std::uint32_t>(packet.coldRemaining.count()));
    steered.set_cold_starts_per_second(static_cast<float>(packet.coldStartsPerSecond));
    return encodeHeaderFrame(*this->header, output);
}

std::vector<std::uint8_t> SteeringMessages::encodeHeader() const
{
    std::vector<std::uint8_t> datagram(maximumHeaderBytes);
    datagram.resize(encodeHeaderFrame(*this->header, datagram));
    return datagram;
}

std::vector<std::uint8_t> SteeringMessages::encode(const ReportMessage& message)
{
    wire::AgentReport& report = *this->header->mutable_report();
    const AgentLoad& load = message.load;
    report.Clear();
    report.set_lifetime(load.incarnation);
    report.set_sequence(load.sequence);
    report.set_service(load.service);
    report.set_slots(load.slots);
    report.set_working(load.working);
    report.set_opening(load.opening);
    report.set_held(load.held);
    report.set_held_late(load.heldLate);
    report.set_demand_percent(load.demandPercent);
    report.set_long_running(load.longRunning);
    report.set_mean_work_us(static_cast<std::uint32_t>(load.meanWork.count()));
    report.set_leaving(load.leaving);
    report.set_reports_changes(load.reportsChanges);
    report.set_start_wait_ms(static_cast<std::uint32_t>(load.startWait.count()));
    report.mutable_balancers()->Add(message.balancers.begin(), message.balancers.end());
    for (const VerdictMessage& verdict : message.verdicts) {
        wire::FlowVerdict& item = *report.add_verdicts();
        writeFlow(verdict.flow, *item.mutable_flow());
        for (const auto& [wireVerdict, value] : verdicts) {
            if (value == verdict.verdict) {
                item.set_verdict(wireVerdict);
            }
        }
    }
    return this->encodeHeader();
}

std::vector<std::uint8_t> SteeringMessages::encode(const HelloMessage& message)
{
    wire::BalancerHello& hello = *this->header->mutable_hello();
    hello.Clear();
    hello.set_lifetime(message.state.incarnation);
    hello.set_revision(message.state.version.revision);
    hello.set_era(message.state.version.era);
    hello.set_correction(message.state.version.correction);
    hello.set_store_available(message.state.storeAvailable);
    hello.set_digest(message.state.digest);
    hello.set_configuration_version(message.state.configuration);
    hello.set_store_answer_age_ms(static_cast<std::uint32_t>(message.state.storeAnswerAge.count()));
    hello.set_awaits_hosts(message.state.awaitsHosts);
    hello.set_zones_settled(message.areZonesSettled);
    hello.mutable_balancers()->Add(message.balancers.begin(), message.balancers.end());
    std::size_t zoneBytes = 0;
    for (const std::string& zone : message.evacuatedZones) {
        zoneBytes += zone.size();
        if (zoneBytes <= maximumZoneBytes) {
            hello.add_evacuated_zones(zone);
        }
    }
    return this->encodeHeader();
}

std::vector<std::uint8_t> SteeringMessages::encode(const FlowQuery& message)
{
    wire::FlowQuery& query = *this->header->mutable_query();
    query.Clear();
    writeFlow(message.flow, *query.mutable_flow());
    if (message.acknowledgement) {
        query.set_acknowledgement(*message.acknowledgement);
    }
    return this->encodeHeader();
}

std::optional<SteeringMessage> SteeringMessages::decode(std::span<const std::uint8_t> datagram)
{
    const auto payload = decodeHeaderFrame(datagram, maximumHeaderBytes, *this->header);
    if (!payload) {
        return std::nullopt;
    }
    if (this->header->has_packet()) {
        const wire::SteeredPacket& steered = this->header->packet();
        return SteerPacket { {}, fromWire(steered.purpose()), steered.service(),
            std::chrono::milliseconds(steered.wait_limit_ms()), steered.priority(),
            steered.late() ? FlowUrgency::Late : FlowUrgency::InTime, steered.slots(), {}, {}, *payload,
            std::chrono::milliseconds(steered.cold_remaining_ms()), steered.cold_starts_per_second() };
    }
    if (this->header->has_report()) {
        auto report = readReport(this->header->report());
        return report ? std::optional<SteeringMessage>(std::move(*report)) : std::nullopt;
    }
    if (this->header->has_hello()) {
        const wire::BalancerHello& hello = this->header->hello();
        return HelloMessage { { hello.lifetime(), { hello.era(), hello.revision(), hello.correction() },
                                  hello.store_available(), hello.digest(), hello.configuration_version(),
                                  std::chrono::milliseconds(hello.store_answer_age_ms()), hello.awaits_hosts() },
            { hello.balancers().begin(), hello.balancers().end() },
            { hello.evacuated_zones().begin(), hello.evacuated_zones().end() }, hello.zones_settled() };
    }
    if (this->header->has_query()) {
        const wire::FlowQuery& query = this->header->query();
        return FlowQuery { readFlow(query.flow()),
            query.has_acknowledgement() ? std::optional(query.acknowledgement()) : std::nullopt };
    }
    return std::nullopt;
}

}
