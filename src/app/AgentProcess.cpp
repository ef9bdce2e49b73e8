#include "app/AgentProcess.h"

#include "app/StatusReport.h"
#include "messages.pb.h"
#include "state/ConfigurationView.h"
#include "transport/AdminServer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sys/epoll.h>

namespace chicoryferry {

namespace {

using Clock = std::chrono::steady_clock;

// Interval of the periodic work; also the longest time that the data thread blocks in the event loop.
constexpr std::chrono::milliseconds tickInterval { 100 };

constexpr std::chrono::milliseconds reconcileInterval { 500 };

// How often a draining agent looks for idle connections to hand over; a request that arrives waits at most this long.
constexpr std::chrono::milliseconds handoverInterval { 10 };

// Limits the receive batches per event, so that timers, messages and signals are still served under load.
constexpr int maxBatchesPerEvent = 16;

// A draining agent keeps forwarding packets until balancers have sent none for this long.
constexpr std::chrono::milliseconds quietPeriod { 1000 };

// Ends a drain even if balancers never stop sending. Twice the time within which a new instance list takes effect.
constexpr std::chrono::milliseconds drainQuietTimeout { 10000 };

// Time limit for handing over the idempotency records during a drain, in case other hosts do not accept them. 200,000
// records are 1,000 messages, each of which is answered within a few milliseconds.
constexpr std::chrono::milliseconds keyHandoverTimeout { 10000 };

}

AgentProcess::AgentProcess(Settings agentSettings)
    : settings(std::move(agentSettings))
    , logger(this->settings.logLevel, this->settings.instance)
    , socket(this->settings.dataAddress)
    , outbox(this->socket, this->settings.fabricAddress)
    , admission(this->settings.instance, this->settings.incarnation, this->flows)
    , stack([this](std::span<const std::uint8_t> packet) { this->outbox.send(packet); },
          [this](const TcpEvent& event) { this->connectionEvent(event); })
    , envelopeProcessor(this->flows, this->admission, this->stack, this->socket, this->metrics)
    , control(this->settings, this->logger, this->metrics, this->wakeup)
    , broker(
          this->settings, this->logger, this->metrics, this->loop,
          [this](EdgeEvent event) { this->edge.brokerEvent(Clock::now(), std::move(event)); },
          [this](
              const Endpoint& peer, wire::PeerMessage message) { return this->control.send(peer, std::move(message)); })
    , edge(this->stack, this->metrics, this->brokerCallbacks())
    , handoverExecutor(
          this->settings.instance, this->flows, this->admission, this->stack, this->edge, this->metrics,
          [this](
              const Endpoint& peer, wire::PeerMessage message) { return this->control.send(peer, std::move(message)); },
          [this](TimePoint now, const Endpoint& source, std::span<const std::uint8_t> datagram) {
              this->envelopeProcessor.datagramReceived(now, source, datagram, this->control.confirmationAge());
              this->socket.flush();
          })
{
    this->envelopeProcessor.setInterceptor(
        [this](const FlowKey& key, const Endpoint& source, std::span<const std::uint8_t> datagram) {
            return this->handoverExecutor.holdPacket(key, source, datagram);
        });
}

BrokerCallbacks AgentProcess::brokerCallbacks()
{
    return { [this](TimePoint now, const std::string& service, const Endpoint& caller, HttpRequestHead head) {
                return this->broker.submit(now, service, caller, std::move(head));
            },
        [this](TimePoint now, std::uint64_t request, std::string data, bool last) {
            this->broker.requestBody(now, request, std::move(data), last);
        },
        [this](TimePoint now, std::uint64_t request, std::size_t bytes) {
            this->broker.answerConsumed(now, request, bytes);
        },
        [this](TimePoint now, std::uint64_t request) { this->broker.cancel(now, request); } };
}

void AgentProcess::run()
{
    this->control.start();
    const AdminServer admin(this->settings.adminAddress, this->metrics,
        { [this] { return this->ready && !this->draining; }, [this] { return this->status(); } });
    this->logger.log(LogLevel::Info, "listening", "start", "",
        { { "data", formatEndpoint(this->socket.address()) }, { "peer", formatEndpoint(this->control.peerAddress()) },
            { "admin", formatEndpoint(admin.address()) } });
    this->watchDescriptors();
    while (!this->draining || !this->isDrained()) {
        this->step();
    }
    const bool isIncomplete = this->flows.liveCount() > 0 || this->broker.requestsInFlight() > 0;
    this->edge.resetBusy(Clock::now());
    this->socket.flush();
    this->control.stop();
    this->logger.log(LogLevel::Info, "stopped", "stop", "",
        { { "flows", this->flows.liveCount() }, { "requests", this->broker.requestsInFlight() },
            { "drained", !isIncomplete }, { "keys_handed_on", !this->broker.isTransferringKeyRecords() } });
}

void AgentProcess::watchDescriptors()
{
    this->loop.add(this->socket.descriptor(), EPOLLIN, [this](std::uint32_t) { this->receivePackets(); });
    this->loop.add(this->wakeup.descriptor(), EPOLLIN, [this](std::uint32_t) {
        this->wakeup.clear();
        this->receiveControlMessages();
    });
    this->loop.add(this->signals.descriptor(), EPOLLIN, [this](std::uint32_t) {
        if (this->signals.consume().stop && !this->draining) {
            this->startDraining();
        }
    });
}

void AgentProcess::step()
{
    this->loop.runOnce(this->nextTimeout());
    const TimePoint now = Clock::now();
    this->stack.poll();
    if (now >= this->broker.nextTimeout() || now >= this->nextTick) {
        this->broker.tick(now);
    }
    if (now >= this->nextTick) {
        this->nextTick = now + tickInterval;
        this->edge.tick(now);
    }
    if (this->draining && now >= this->nextHandover) {
        this->nextHandover = now + handoverInterval;
        this->handoverExecutor.poll(now);
    }
    if (now >= this->nextReconcile) {
        this->nextReconcile = now + reconcileInterval;
        this->envelopeProcessor.reconcile();
        this->handoverExecutor.reconcile();
        this->updateGauges();
    }
    this->socket.flush();
}

std::chrono::milliseconds AgentProcess::nextTimeout() const
{
    const TimePoint now = Clock::now();
    TimePoint due = std::min(this->broker.nextTimeout(), this->nextTick);
    if (this->draining) {
        due = std::min(due, this->nextHandover);
    }
    const auto untilDue = std::chrono::ceil<std::chrono::milliseconds>(std::max(due, now) - now);
    return std::min({ untilDue, this->stack.nextTimeout(), tickInterval });
}

void AgentProcess::receivePackets()
{
    const std::chrono::milliseconds confirmationAge = this->control.confirmationAge();
    for (int batch = 0; batch < maxBatchesPerEvent; ++batch) {
        const auto datagrams = this->socket.receive();
        if (datagrams.empty()) {
            return;
        }
        const TimePoint now = Clock::now();
        this->lastPacket = now;
        for (const ReceivedDatagram& datagram : datagrams) {
            this->envelopeProcessor.datagramReceived(now, datagram.source, datagram.bytes, confirmationAge);
        }
        this->socket.flush();
    }
}

void AgentProcess::receiveControlMessages()
{
    this->applyView();
    const TimePoint now = Clock::now();
    while (const auto message = this->control.receive()) {
        if (message->has_handover() || message->has_handover_answer()) {
            this->handoverExecutor.messageReceived(now, *message);
        } else {
            this->broker.messageReceived(now, *message);
        }
    }
}

void AgentProcess::applyView()
{
    auto view = this->control.view();
    if (!view || view == this->currentView) {
        return;
    }
    const bool first = !this->currentView;
    this->currentView = std::move(view);
    this->admission.viewChanged(this->currentView);
    if (const Service* service = this->currentView->serviceOfHost(this->settings.instance)) {
        this->stack.listen(service->endpoint);
    }
    this->handoverExecutor.viewChanged(this->currentView);
    this->broker.viewChanged(Clock::now(), this->currentView, this->control.historyComplete());
    this->ready = true;
    this->logger.log(LogLevel::Info, first ? "ready" : "configuration_in_force", "apply configuration", "",
        { { "version", this->currentView->configuration().version } });
}

void AgentProcess::connectionEvent(const TcpEvent& event)
{
    if (const auto* accepted = std::get_if<TcpAccepted>(&event)) {
        this->connectionAccepted(*accepted);
        return;
    }
    this->edge.connectionEvent(Clock::now(), event);
}

void AgentProcess::connectionAccepted(const TcpAccepted& event)
{
    const FlowKey key { event.remote, event.local };
    const Flow* flow = this->flows.find(key);
    const Service* service = flow == nullptr ? nullptr : this->currentView->serviceById(flow->serviceId);
    if (service == nullptr) {
        this->metrics.refusals("accept flow", "service_removed").Increment();
        this->stack.abort(event.connection);
        return;
    }
    this->envelopeProcessor.flowAccepted(key);
    this->edge.opened(Clock::now(), event.connection, service->name, event.remote);
}

void AgentProcess::startDraining()
{
    const TimePoint now = Clock::now();
    this->draining = true;
    this->drainStart = now;
    this->logger.log(LogLevel::Info, "draining", "stop", "",
        { { "flows", this->flows.liveCount() }, { "requests", this->broker.requestsInFlight() } });
    this->admission.startDraining();
    this->broker.startDraining(now);
    this->edge.startDraining(now, true);
}

bool AgentProcess::isDrained() const
{
    const TimePoint now = Clock::now();
    if (now - this->drainStart >= this->settings.drainLimit) {
        return true;
    }
    if (this->flows.liveCount() > 0 || this->broker.requestsInFlight() > 0) {
        return false;
    }
    if (this->broker.isTransferringKeyRecords() && now - this->drainStart < keyHandoverTimeout) {
        return false;
    }
    const TimePoint reference = std::max(this->lastPacket, this->drainStart);
    return now - reference >= quietPeriod || now - this->drainStart >= drainQuietTimeout;
}

void AgentProcess::updateGauges()
{
    this->flowCount = this->flows.liveCount();
    this->requestCount = this->broker.requestsInFlight();
    this->metrics.state("flows").Set(static_cast<double>(this->flows.liveCount()));
    this->metrics.state("connections").Set(static_cast<double>(this->edge.connectionCount()));
    this->metrics.state("requests_in_flight").Set(static_cast<double>(this->broker.requestsInFlight()));
    if (this->socket.dropped() != this->reportedSocketDrops) {
        this->metrics.drops("send", "kernel_refused")
            .Increment(static_cast<double>(this->socket.dropped() - this->reportedSocketDrops));
        this->reportedSocketDrops = this->socket.dropped();
    }
}

std::string AgentProcess::status() const
{
    StatusReport report = makeStatus(this->settings, this->control);
    report.flows = this->flowCount;
    report.requestsInFlight = this->requestCount;
    report.ready = this->ready && !this->draining;
    report.draining = this->draining;
    return formatStatus(report);
}

}
