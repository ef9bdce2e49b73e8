#include "app/AgentNode.h"

#include "coordination/FlowPlacement.h"
#include "platform/FlowPayload.h"
#include "platform/PacketFormat.h"
#include "platform/Readiness.h"
#include "platform/SettingsFile.h"
#include "support/Overloaded.h"
#include "support/RandomNumber.h"
#include "transport/AdminServer.h"

#include <algorithm>
#include <fmt/format.h>
#include <sys/epoll.h>
#include <unistd.h>

namespace chicoryferry {

namespace {

using std::chrono::milliseconds;

// Maximum number of receive batches per call, so that timers and the other socket are served under load.
constexpr int maximumBatchesPerCall = 8;

// Intervals between calls of HostAdmission::tick(): while flows are held or opening, and otherwise.
constexpr milliseconds busyTickInterval { 10 };
constexpr milliseconds idleTickInterval { 100 };

// Minimum time between two reports of a changed load to one balancer. Verdicts are sent at once and carry the load.
constexpr milliseconds reportInterval { 10 };

// Reports are sent to a silent balancer for this long, so that one that has restarted learns of this agent.
constexpr std::chrono::seconds balancerRetention { 30 };

// A report lists other balancers that were heard within this time. Balancers thereby discover each other through agents
// even while the store and the seeds are unreachable. Balancers announce themselves at least once a second.
constexpr std::chrono::milliseconds balancerLiveLimit { 2500 };
constexpr std::size_t maximumListedBalancers = 8;

// Minimum time between SIGTERM and exit, so that balancers learn that this agent is leaving even if one report is lost.
constexpr milliseconds minimumStopTime { 300 };

// The process exits at the latest this long before the platform kills it.
constexpr milliseconds stopMargin { 700 };

// Start time from which on the agent has seen every flow that its backend server can hold.
std::chrono::steady_clock::time_point knownSince(const NodeSettings& settings)
{
    const auto now = std::chrono::steady_clock::now();
    return settings.firstStart ? now - settings.flowLifetime - std::chrono::seconds(1) : now;
}

}

AgentNode::AgentNode(NodeSettings nodeSettings, std::string settingsPath)
    : settings(std::move(nodeSettings))
    , log(this->settings.instance, STDOUT_FILENO)
    , peerSocket(this->settings.packetAddress)
    , backendServerSocket(this->settings.backendOutbound)
    , admission(drawRandomNumber(), serviceHash(this->settings.service), platform::parseRequestMetadata,
          platform::parseAnswerMetadata, knownSince(this->settings), this->settings.flowLifetime)
    , reload(std::move(settingsPath), platform::readSettingsFile, this->settings, this->log, this->metrics,
          [this](const NodeSettings& next) { this->onSettings(next); })
{
}

void AgentNode::onSettings(const NodeSettings& next)
{
    if (next.service != this->settings.service) {
        this->admission.setService(serviceHash(next.service), this->actions);
        this->perform(std::chrono::steady_clock::now());
    }
    this->settings.service = next.service;
    this->settings.backendServer = next.backendServer;
    this->settings.stopGrace = next.stopGrace;
}

void AgentNode::queueVerdict(const SendVerdict& verdict, TimePoint now)
{
    Balancer& balancer = this->balancers[verdict.balancer];
    balancer.lastHeard = now;
    balancer.verdicts.push_back({ verdict.flow, verdict.verdict });
    this->metrics.events("verdict_" + std::string(flowVerdictName(verdict.verdict))).Increment();
    const AgentLoad load = this->admission.currentLoad(now);
    this->log.log(isRefusal(verdict.verdict) ? EventLog::Importance::Notable : EventLog::Importance::Routine,
        "flow_verdict",
        { { "flow", formatFlow(verdict.flow) }, { "verdict", flowVerdictName(verdict.verdict) },
            { "expected_wait_us", verdict.expectedWait.count() }, { "held_us", verdict.held.count() },
            { "working", load.working }, { "opening", load.opening }, { "held", load.held },
            { "held_late", load.heldLate }, { "demand_percent", load.demandPercent }, { "slots", load.slots } });
}

void AgentNode::logAnswer(const ReportAnswer& answer)
{
    constexpr int firstServerError = 500;
    this->metrics.duration("request").Observe(std::chrono::duration<double>(answer.work).count());
    this->log.log(answer.status >= firstServerError ? EventLog::Importance::Notable : EventLog::Importance::Routine,
        "request_answered",
        { { "request", answer.requestId }, { "flow", formatFlow(answer.flow) }, { "status", answer.status },
            { "work_us", answer.work.count() }, { "since_first_packet_us", answer.sinceFirstPacket.count() } });
}

void AgentNode::perform(TimePoint now)
{
    const auto visitor = Overloaded {
        [this](const DeliverToBackendServer& delivery) {
            this->backendServerSocket.queue(this->settings.backendServer, 0, delivery.datagram);
        },
        [this](const DeliverToCaller& delivery) {
            this->backendServerSocket.queue(
                { delivery.caller.address, this->settings.packetAddress.port }, 0, delivery.datagram);
        },
        [&](const SendVerdict& verdict) { this->queueVerdict(verdict, now); },
        [this](const ReportRequest& request) {
            this->log.log(EventLog::Importance::Routine, "request_delivered",
                { { "request", request.requestId }, { "flow", formatFlow(request.flow) },
                    { "working", request.working } });
        },
        [this](const ReportLostRequest& request) {
            this->metrics.events("request_lost").Increment();
            this->log.log(EventLog::Importance::Notable, "request_lost",
                { { "request", request.requestId }, { "flow", formatFlow(request.flow) } });
        },
        [this](const ReportAnswer& answer) { this->logAnswer(answer); },
        [this](const ReportReturnedPacket& returned) {
            this->log.log(returned.known ? EventLog::Importance::Notable : EventLog::Importance::Routine,
                "packet_returned", { { "flow", formatFlow(returned.flow) }, { "known", returned.known ? 1 : 0 } });
        },
        [this](const ReportRecoveredFlow& recovered) {
            this->metrics.events("flow_recovered").Increment();
            this->log.log(EventLog::Importance::Notable, "flow_recovered", { { "flow", formatFlow(recovered.flow) } });
        },
    };
    for (const AgentAction& action : this->actions) {
        std::visit(visitor, action);
    }
    this->actions.clear();
    this->backendServerSocket.flush();
}

void AgentNode::handleSteeredPacket(const Endpoint& balancer, const SteerPacket& steered, TimePoint now)
{
    const auto packet = platform::decodePacket(steered.datagram);
    if (!packet) {
        this->metrics.drops("deliver packet", "malformed").Increment();
        return;
    }
    if (steered.purpose == SteeringPurpose::NewFlow && packet->isFirst()) {
        this->recipients.recordOffer(balancer, now);
        this->admission.handleNewFlow({ balancer, steered.waitLimit, steered.priority, steered.urgency, steered.slots,
                                          steered.coldRemaining, steered.coldStartsPerSecond },
            steered.service, *packet, steered.datagram, now, this->actions);
    } else {
        this->admission.handleCallerPacket(
            balancer, steered.service, steered.purpose, *packet, steered.datagram, now, this->actions);
    }
    this->perform(now);
}

void AgentNode::handleHello(const Endpoint& balancerAddress, const HelloMessage& hello, TimePoint now)
{
    const bool isNamed
        = std::find(hello.evacuatedZones.begin(), hello.evacuatedZones.end(), this->settings.availabilityZone)
        != hello.evacuatedZones.end();
    if (!this->evacuation.recordHello(balancerAddress, { hello.state.version, hello.areZonesSettled, isNamed }, now)) {
        return;
    }
    const bool isEvacuated = this->evacuation.isEvacuated();
    this->log.log(EventLog::Importance::Notable, isEvacuated ? "evacuated" : "evacuation_ended",
        { { "zone", this->settings.availabilityZone },
            { "revision", static_cast<std::int64_t>(hello.state.version.revision) } });
    this->admission.setEvacuated(isEvacuated, this->actions);
    for (auto& [address, balancer] : this->balancers) {
        balancer.reportDue = true; // balancers that do not know yet learn that this agent takes no new flows
    }
    this->perform(now);
}

void AgentNode::receivePeerMessages()
{
    for (int batch = 0; batch < maximumBatchesPerCall; ++batch) {
        const auto datagrams = this->peerSocket.receive();
        if (datagrams.empty()) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        for (const ReceivedDatagram& datagram : datagrams) {
            const auto message = this->messages.decode(datagram.bytes);
            if (!message || std::holds_alternative<ReportMessage>(*message)) {
                this->metrics.drops("take message", "malformed").Increment();
                continue;
            }
            Balancer& balancer = this->balancers[datagram.source];
            balancer.lastHeard = now;
            if (const auto* steered = std::get_if<SteerPacket>(&*message)) {
                this->handleSteeredPacket(datagram.source, *steered, now);
            } else if (const auto* query = std::get_if<FlowQuery>(&*message)) {
                this->admission.handleQuery(datagram.source, *query, now, this->actions);
                this->perform(now);
            } else {
                balancer.reportDue = true;
                this->handleHello(datagram.source, std::get<HelloMessage>(*message), now);
            }
        }
        this->sendReports(now);
    }
}

void AgentNode::receiveBackendServerPackets()
{
    for (int batch = 0; batch < maximumBatchesPerCall; ++batch) {
        const auto datagrams = this->backendServerSocket.receive();
        if (datagrams.empty()) {
            return;
        }
        const auto now = std::chrono::steady_clock::now();
        for (const ReceivedDatagram& datagram : datagrams) {
            const auto packet = platform::decodePacket(datagram.bytes);
            if (!packet) {
                this->metrics.drops("deliver packet", "malformed").Increment();
                continue;
            }
            this->admission.handleBackendServerPacket(*packet, datagram.bytes, now, this->actions);
            this->perform(now);
        }
        this->sendReports(now);
    }
}

std::vector<std::uint32_t> AgentNode::otherLiveBalancers(const Endpoint& address, TimePoint now) const
{
    std::vector<std::uint32_t> addresses;
    for (const auto& [other, balancer] : this->balancers) {
        if (other != address && now - balancer.lastHeard < balancerLiveLimit
            && addresses.size() < maximumListedBalancers) {
            addresses.push_back(other.address);
        }
    }
    return addresses;
}

void AgentNode::sendReport(const Endpoint& address, Balancer& balancer, TimePoint now)
{
    AgentLoad load = this->admission.load(now);
    load.reportsChanges = this->balancers.size() <= ReportRecipients::maximumRecipients;
    do {
        const auto count = std::min(balancer.verdicts.size(), SteeringMessages::maximumVerdicts);
        ReportMessage report { load, {}, {} };
        if (balancer.reportDue) {
            report.balancers = this->otherLiveBalancers(address, now);
        }
        report.verdicts.assign(
            balancer.verdicts.begin(), balancer.verdicts.begin() + static_cast<std::ptrdiff_t>(count));
        balancer.verdicts.erase(
            balancer.verdicts.begin(), balancer.verdicts.begin() + static_cast<std::ptrdiff_t>(count));
        const auto datagram = this->messages.encode(report);
        this->peerSocket.queue(address, 0, datagram);
        this->peerSocket.flush();
    } while (!balancer.verdicts.empty());
    balancer.reportedOccupied = this->admission.occupied();
    balancer.lastReport = now;
    balancer.reportDue = false;
}

void AgentNode::sendReports(TimePoint now)
{
    for (auto& [address, balancer] : this->balancers) {
        const bool changed
            = balancer.reportedOccupied != this->admission.occupied() && this->recipients.contains(address);
        if (!balancer.verdicts.empty() || balancer.reportDue
            || (changed && now - balancer.lastReport >= reportInterval)) {
            this->sendReport(address, balancer, now);
        } else if (changed) {
            this->nextReports = std::min(this->nextReports, balancer.lastReport + reportInterval);
        }
    }
}

void AgentNode::tick(TimePoint now)
{
    if (now >= this->nextTick) {
        this->nextTick = now + (this->admission.isBusy() ? busyTickInterval : idleTickInterval);
        this->admission.tick(now, this->actions);
        this->perform(now);
        std::erase_if(
            this->balancers, [&](const auto& item) { return now - item.second.lastHeard > balancerRetention; });
        this->flowCount = this->admission.flowCount();
        this->reload.check(false, now);
    }
    if (this->admission.isBusy()) {
        this->nextTick = std::min(this->nextTick, now + busyTickInterval);
    }
    this->nextReports = now + idleTickInterval;
    this->sendReports(now);
    this->log.flush();
}

std::chrono::milliseconds AgentNode::timeout(TimePoint now) const
{
    const TimePoint next = std::min(this->nextTick, this->nextReports);
    return std::clamp(std::chrono::ceil<milliseconds>(next - now), milliseconds(0), idleTickInterval);
}

void AgentNode::startShutdown(TimePoint now)
{
    if (!this->stopping) {
        this->stopping = true;
        this->stopSince = now;
        this->ready = false;
        this->admission.refuseNewFlows();
        for (auto& [address, balancer] : this->balancers) {
            balancer.reportDue = true;
        }
        this->log.log(EventLog::Importance::Notable, "stopping",
            { { "flows", static_cast<std::int64_t>(this->admission.unfinished()) } });
    }
}

bool AgentNode::isStopped(TimePoint now) const
{
    if (!this->stopping) {
        return false;
    }
    const auto since = now - this->stopSince;
    return since >= this->settings.stopGrace - stopMargin
        || (since >= minimumStopTime && this->admission.unfinished() == 0);
}

std::string AgentNode::status() const
{
    return fmt::format(R"({{"role":"agent","instance":"{}","flows":{},"ready":{}}})", this->settings.instance,
        this->flowCount.load(), this->ready.load());
}

void AgentNode::run()
{
    const AdminServer admin({ this->settings.readyAddress, this->settings.metricsAddress }, this->metrics,
        { [this] { return this->ready.load(); }, [this] { return this->status(); }, platform::readinessPath });
    this->ready = true;
    this->log.log(EventLog::Importance::Notable, "started",
        { { "peers", formatEndpoint(this->settings.packetAddress) },
            { "backend_server", formatEndpoint(this->settings.backendServer) }, { "service", this->settings.service },
            { "first_start", this->settings.firstStart ? 1 : 0 } });
    this->loop.add(this->peerSocket.descriptor(), EPOLLIN, [this](std::uint32_t) { this->receivePeerMessages(); });
    this->loop.add(this->backendServerSocket.descriptor(), EPOLLIN,
        [this](std::uint32_t) { this->receiveBackendServerPackets(); });
    this->loop.add(this->signals.descriptor(), EPOLLIN, [this](std::uint32_t) {
        const auto now = std::chrono::steady_clock::now();
        const SignalWatch::Requests requests = this->signals.consume();
        if (requests.reload) {
            this->reload.check(true, now);
        }
        if (requests.stop) {
            this->startShutdown(now);
        }
    });
    while (!this->isStopped(std::chrono::steady_clock::now())) {
        this->tick(std::chrono::steady_clock::now());
        this->loop.runOnce(this->timeout(std::chrono::steady_clock::now()));
    }
    this->log.log(EventLog::Importance::Notable, "stopped",
        { { "flows", static_cast<std::int64_t>(this->admission.unfinished()) } });
    this->log.flush();
}

}
