#include "app/BalancerProcess.h"

#include "app/StatusReport.h"
#include "state/ConfigurationView.h"
#include "transport/AdminServer.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <sys/epoll.h>

namespace chicoryferry {

namespace {

constexpr std::chrono::milliseconds pollInterval { 100 };

// If no packet arrives for this long, the network fabric has removed the balancer from its routes.
constexpr std::chrono::milliseconds quietPeriod { 1000 };

// Ends a shutdown even if the fabric never stops sending. Twice the time within which a new instance list takes effect.
constexpr std::chrono::milliseconds shutdownTimeout { 10000 };

}

BalancerProcess::BalancerProcess(Settings balancerSettings)
    : settings(std::move(balancerSettings))
    , logger(this->settings.logLevel, this->settings.instance)
    , socket(this->settings.dataAddress)
    , forwarder(this->socket, this->metrics)
    , control(this->settings, this->logger, this->metrics, this->wakeup)
{
}

void BalancerProcess::applyView()
{
    auto view = this->control.view();
    if (!view || view == this->currentView) {
        return;
    }
    this->forwarder.setView(view);
    const bool first = !this->currentView;
    this->currentView = std::move(view);
    this->ready = true;
    this->logger.log(LogLevel::Info, first ? "ready" : "configuration_in_force", "apply configuration", "",
        { { "version", this->currentView->configuration().version } });
}

void BalancerProcess::forwardPackets()
{
    if (this->forwarder.forwardPending() > 0) {
        this->lastPacket = std::chrono::steady_clock::now();
    }
}

bool BalancerProcess::isQuiet() const
{
    const auto now = std::chrono::steady_clock::now();
    const auto reference = std::max(this->lastPacket, this->drainStart);
    return now - reference >= quietPeriod || now - this->drainStart >= shutdownTimeout;
}

std::string BalancerProcess::status() const
{
    StatusReport report = makeStatus(this->settings, this->control);
    report.ready = this->ready && !this->draining;
    report.draining = this->draining;
    return formatStatus(report);
}

void BalancerProcess::run()
{
    this->control.start();
    const AdminServer admin(this->settings.adminAddress, this->metrics,
        { [this] { return this->ready && !this->draining; }, [this] { return this->status(); } });
    this->logger.log(LogLevel::Info, "listening", "start", "",
        { { "data", formatEndpoint(this->socket.address()) }, { "peer", formatEndpoint(this->control.peerAddress()) },
            { "admin", formatEndpoint(admin.address()) } });
    this->loop.add(this->socket.descriptor(), EPOLLIN, [this](std::uint32_t) { this->forwardPackets(); });
    this->loop.add(this->wakeup.descriptor(), EPOLLIN, [this](std::uint32_t) {
        this->wakeup.clear();
        this->applyView();
    });
    this->loop.add(this->signals.descriptor(), EPOLLIN, [this](std::uint32_t) {
        if (this->signals.consume().stop && !this->draining) {
            this->drainStart = std::chrono::steady_clock::now();
            this->draining = true;
            this->logger.info("draining", "stop");
        }
    });
    while (!this->draining || !this->isQuiet()) {
        this->loop.runOnce(pollInterval);
    }
    this->control.stop();
    this->logger.info("stopped", "stop");
}

}
