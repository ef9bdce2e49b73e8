#include "app/ControlPlane.h"

#include "app/PlatformWatch.h"
#include "app/Settings.h"
#include "messages.pb.h"
#include "state/ConfigurationStore.h"
#include "state/ConfigurationView.h"
#include "support/Logger.h"
#include "support/Metrics.h"
#include "transport/PeerSocket.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

namespace chicoryferry {

namespace {

using Clock = std::chrono::steady_clock;

// Messages between the data thread and the control thread in each direction.
constexpr std::size_t ringMessages = 4096;

constexpr std::chrono::milliseconds pollInterval { 10 };
constexpr std::chrono::seconds watchWait { 1 };
constexpr std::chrono::seconds retryInterval { 1 };

// Stands for an age without any confirmation.
constexpr std::chrono::milliseconds neverConfirmed = std::chrono::hours(24 * 365);

struct OutgoingMessage {
    Endpoint peer;
    wire::PeerMessage message;
};

nlohmann::json describeFaults(const StoreResult& result)
{
    nlohmann::json faults = nlohmann::json::array();
    for (const ConfigurationFault& fault : result.faults) {
        faults.push_back({ { "path", fault.path }, { "message", fault.message } });
    }
    return { { "version", result.version }, { "reason", storeOutcomeName(result.outcome) }, { "faults", faults } };
}

}

class ControlPlane::Implementation {
public:
    Implementation(const Settings& processSettings, Logger& processLogger, Metrics& processMetrics, Wakeup& wakeup)
        : settings(processSettings)
        , logger(processLogger)
        , metrics(processMetrics)
        , dataWakeup(wakeup)
        , outgoingFull(processMetrics.drops("queue peer message", "ring_full"))
        , incomingFull(processMetrics.drops("deliver peer message", "ring_full"))
        , watches { PlatformWatch(processSettings.platform, DocumentKind::Configuration, this->controlWakeup),
            PlatformWatch(processSettings.platform, DocumentKind::Instances, this->controlWakeup) }
    {
    }

    ~Implementation() { this->stop(); }

    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    void start()
    {
        this->socket = std::make_unique<PeerSocket>(this->settings.peerAddress, this->metrics);
        this->boundAddress = this->socket->address();
        for (PlatformWatch& watch : this->watches) {
            watch.start();
        }
        this->controlThread = std::thread([this] { this->run(); });
    }

    void stop()
    {
        this->stopping = true;
        this->controlWakeup.notify();
        if (this->controlThread.joinable()) {
            this->controlThread.join();
        }
        for (PlatformWatch& watch : this->watches) {
            watch.stop();
        }
        this->socket.reset();
    }

    Endpoint peerAddress() const { return this->boundAddress; }

    std::shared_ptr<const ConfigurationView> view() const
    {
        const std::lock_guard lock(this->viewMutex);
        return this->publishedView;
    }

    std::chrono::milliseconds confirmationAge() const
    {
        const std::int64_t confirmed = this->confirmedAt;
        if (confirmed == 0) {
            return neverConfirmed;
        }
        const Clock::duration age = Clock::now().time_since_epoch() - Clock::duration(confirmed);
        return std::chrono::duration_cast<std::chrono::milliseconds>(age);
    }

    bool historyComplete() const { return this->publishedComplete; }

    std::optional<wire::PeerMessage> receive() { return this->incoming.pop(); }

    bool send(const Endpoint& peer, wire::PeerMessage message)
    {
        if (!this->outgoing.push({ peer, std::move(message) })) {
            this->outgoingFull.Increment();
            return false;
        }
        this->controlWakeup.notify();
        return true;
    }

private:
    void run()
    {
        while (!this->stopping) {
            this->socket->wait(pollInterval, this->controlWakeup.descriptor());
            this->controlWakeup.clear();
            const Clock::time_point now = Clock::now();
            this->sendQueued(now);
            this->deliverReceived();
            this->takeReports();
            this->askPlatform(now);
            this->store.prune(now);
            this->publish(now);
            this->socket->maintain(now);
        }
    }

    void sendQueued(Clock::time_point now)
    {
        while (auto queued = this->outgoing.pop()) {
            queued->message.mutable_sender()->set_instance(this->settings.instance);
            queued->message.mutable_sender()->set_incarnation(this->settings.incarnation);
            this->socket->send(now, queued->peer, queued->message);
        }
    }

    void deliverReceived()
    {
        bool delivered = false;
        while (auto message = this->socket->receive()) {
            if (!this->incoming.push(std::move(*message))) {
                this->incomingFull.Increment();
            }
            delivered = true;
        }
        if (delivered) {
            this->dataWakeup.notify();
        }
    }

    void askPlatform(Clock::time_point now)
    {
        for (const DocumentKind kind : documentKinds) {
            const auto index = static_cast<std::size_t>(kind);
            if (!this->asking[index] && now >= this->nextAsk[index]) {
                const std::uint64_t after = std::max(this->store.version(kind), this->refusedVersion[index]);
                this->asking[index] = this->watches[index].ask({ after, watchWait });
            }
        }
    }

    void takeReports()
    {
        for (const DocumentKind kind : documentKinds) {
            const auto index = static_cast<std::size_t>(kind);
            while (const auto report = this->watches[index].takeReport()) {
                this->asking[index] = false;
                this->takeReport(kind, *report);
            }
        }
    }

    void takeReport(DocumentKind kind, const PlatformReport& report)
    {
        const auto index = static_cast<std::size_t>(kind);
        if (report.result == PlatformReport::Result::Failed) {
            this->nextAsk[index] = Clock::now() + retryInterval;
            this->metrics.retries("read platform", "failed").Increment();
            this->logger.log(LogLevel::Warning, "platform_failed", report.step, formatEndpoint(this->settings.platform),
                { { "message", report.text } });
            return;
        }
        if (report.result == PlatformReport::Result::Document) {
            const StoreResult result = this->store.offerText(Clock::now(), kind, report.text);
            if (result.outcome != StoreOutcome::Accepted) {
                this->refuse(kind, result);
                return;
            }
        }
        if (kind == DocumentKind::Configuration) {
            this->confirmedAt = report.answeredAt.time_since_epoch().count();
        }
    }

    void refuse(DocumentKind kind, const StoreResult& result)
    {
        const auto index = static_cast<std::size_t>(kind);
        this->nextAsk[index] = Clock::now() + retryInterval;
        this->refusedVersion[index] = std::max(this->refusedVersion[index], result.version);
        const std::string step = fmt::format("take {}", documentKindName(kind));
        this->metrics.refusals(step, std::string(storeOutcomeName(result.outcome))).Increment();
        this->logger.log(LogLevel::Warning, "document_refused", step, formatEndpoint(this->settings.platform),
            describeFaults(result));
    }

    void publish(Clock::time_point now)
    {
        this->publishedComplete = this->store.historyComplete(now);
        auto view = this->store.view();
        const std::lock_guard lock(this->viewMutex);
        if (view != this->publishedView) {
            this->publishedView = std::move(view);
            this->dataWakeup.notify();
        }
    }

    const Settings& settings;
    Logger& logger;
    Metrics& metrics;
    Wakeup& dataWakeup;
    prometheus::Counter& outgoingFull;
    prometheus::Counter& incomingFull;

    Wakeup controlWakeup;
    BoundedRing<OutgoingMessage> outgoing { ringMessages };
    BoundedRing<wire::PeerMessage> incoming { ringMessages };
    std::array<PlatformWatch, 2> watches;
    std::unique_ptr<PeerSocket> socket;
    Endpoint boundAddress;
    std::thread controlThread;
    std::atomic<bool> stopping { false };

    // Control thread only.
    ConfigurationStore store;
    std::array<bool, 2> asking { false, false };
    std::array<Clock::time_point, 2> nextAsk;
    std::array<std::uint64_t, 2> refusedVersion { 0, 0 };

    mutable std::mutex viewMutex;
    std::shared_ptr<const ConfigurationView> publishedView;
    std::atomic<bool> publishedComplete { false };
    std::atomic<std::int64_t> confirmedAt { 0 }; // ticks of the steady clock; 0: never
};

ControlPlane::ControlPlane(const Settings& settings, Logger& logger, Metrics& metrics, Wakeup& dataWakeup)
    : implementation(std::make_unique<Implementation>(settings, logger, metrics, dataWakeup))
{
}

ControlPlane::~ControlPlane() = default;

void ControlPlane::start() { this->implementation->start(); }

void ControlPlane::stop() { this->implementation->stop(); }

Endpoint ControlPlane::peerAddress() const { return this->implementation->peerAddress(); }

std::shared_ptr<const ConfigurationView> ControlPlane::view() const { return this->implementation->view(); }

std::chrono::milliseconds ControlPlane::confirmationAge() const { return this->implementation->confirmationAge(); }

bool ControlPlane::historyComplete() const { return this->implementation->historyComplete(); }

std::optional<wire::PeerMessage> ControlPlane::receive() { return this->implementation->receive(); }

bool ControlPlane::send(const Endpoint& peer, wire::PeerMessage message)
{
    return this->implementation->send(peer, std::move(message));
}

}
