#include "app/ControlPlane.h"

#include "app/ConfigurationExchange.h"
#include "app/PlatformWatch.h"
#include "app/Settings.h"
#include "messages.pb.h"
#include "state/ConfigurationView.h"
#include "support/InternalError.h"
#include "support/Logger.h"
#include "support/Metrics.h"
#include "transport/PeerSocket.h"

#include <array>
#include <atomic>
#include <mutex>
#include <thread>

namespace chicoryferry {

namespace {

using Clock = std::chrono::steady_clock;

// Capacity, in each direction, of the message rings between the data thread and the control thread.
constexpr std::size_t ringCapacity = 4096;

constexpr std::chrono::milliseconds pollInterval { 50 };

// Reported as the confirmation age before the first confirmation.
constexpr std::chrono::milliseconds neverConfirmed = std::chrono::hours(24 * 365);

struct OutgoingMessage {
    Endpoint peer;
    wire::PeerMessage message;
};

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
        , distributionSent(processMetrics.events("distribution_message_sent"))
        , distributionReceived(processMetrics.events("distribution_message_received"))
        , platformCalls(processMetrics.events("platform_call"))
        , subscriberCount(processMetrics.state("subscribers"))
        , readerState(processMetrics.state("reader"))
        , configurationVersion(processMetrics.state("configuration_version"))
        , instancesVersion(processMetrics.state("instances_version"))
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
        this->exchange = std::make_unique<ConfigurationExchange>(this->settings.instance,
            this->settings.availabilityZone, this->boundAddress, this->settings.seedPeers, this->logger, this->metrics);
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

    bool historyComplete() const { return this->publishedHistoryComplete; }

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
            // Read messages before handling timeouts: a process that was paused would otherwise treat peers as silent
            // although their messages are waiting to be read.
            this->receiveMessages(now);
            this->handleReports(now);
            this->perform(now, this->exchange->tick(now));
            this->publish(now);
            this->socket->maintain(now);
        }
    }

    void send(Clock::time_point now, const Endpoint& peer, wire::PeerMessage& message)
    {
        message.mutable_sender()->set_instance(this->settings.instance);
        message.mutable_sender()->set_incarnation(this->settings.incarnation);
        this->socket->send(now, peer, message);
    }

    void sendQueued(Clock::time_point now)
    {
        while (auto queued = this->outgoing.pop()) {
            this->send(now, queued->peer, queued->message);
        }
    }

    void receiveMessages(Clock::time_point now)
    {
        bool delivered = false;
        while (auto message = this->socket->receive()) {
            if (auto outputs = this->exchange->messageReceived(now, *message)) {
                this->distributionReceived.Increment();
                this->perform(now, std::move(*outputs));
            } else if (this->incoming.push(std::move(*message))) {
                delivered = true;
            } else {
                this->incomingFull.Increment();
            }
        }
        if (delivered) {
            this->dataWakeup.notify();
        }
    }

    void handleReports(Clock::time_point now)
    {
        for (const DocumentKind kind : documentKinds) {
            const auto index = static_cast<std::size_t>(kind);
            while (const auto report = this->watches[index].takeReport()) {
                this->perform(now, this->exchange->platformAnswered(now, this->queries[index], kind, *report));
            }
        }
    }

    void perform(Clock::time_point now, ConfigurationExchange::Outputs outputs)
    {
        for (auto& output : outputs) {
            if (auto* message = std::get_if<ConfigurationExchange::Message>(&output)) {
                this->distributionSent.Increment();
                this->send(now, message->peer, message->message);
            } else {
                this->startPlatformQuery(std::get<QueryPlatform>(output));
            }
        }
    }

    void startPlatformQuery(const QueryPlatform& action)
    {
        const auto index = static_cast<std::size_t>(action.kind);
        this->queries[index] = { action.after, action.wait };
        const bool started = this->watches[index].startQuery(this->queries[index]);
        internalAssert(started, "query platform", "the previous query for this document is still pending");
        this->platformCalls.Increment();
    }

    void publish(Clock::time_point now)
    {
        this->publishedHistoryComplete = this->exchange->store().historyComplete(now);
        const auto confirmed = this->exchange->node().confirmedAt();
        this->confirmedAt = confirmed ? confirmed->time_since_epoch().count() : 0;
        this->subscriberCount.Set(static_cast<double>(this->exchange->node().subscribers()));
        this->readerState.Set(this->exchange->node().isReader() ? 1 : 0);
        auto view = this->exchange->view();
        if (view == this->lastView) {
            return;
        }
        this->lastView = view;
        this->configurationVersion.Set(static_cast<double>(view->configuration().version));
        this->instancesVersion.Set(static_cast<double>(view->instances().version));
        {
            const std::lock_guard lock(this->viewMutex);
            this->publishedView = std::move(view);
        }
        this->dataWakeup.notify();
    }

    const Settings& settings;
    Logger& logger;
    Metrics& metrics;
    Wakeup& dataWakeup;
    prometheus::Counter& outgoingFull;
    prometheus::Counter& incomingFull;
    prometheus::Counter& distributionSent;
    prometheus::Counter& distributionReceived;
    prometheus::Counter& platformCalls;
    prometheus::Gauge& subscriberCount;
    prometheus::Gauge& readerState;
    prometheus::Gauge& configurationVersion;
    prometheus::Gauge& instancesVersion;

    Wakeup controlWakeup;
    BoundedRing<OutgoingMessage> outgoing { ringCapacity };
    BoundedRing<wire::PeerMessage> incoming { ringCapacity };
    std::array<PlatformWatch, 2> watches;
    std::unique_ptr<PeerSocket> socket;
    Endpoint boundAddress;
    std::thread controlThread;
    std::atomic<bool> stopping { false };

    // Accessed only by the control thread.
    std::unique_ptr<ConfigurationExchange> exchange;
    std::array<PlatformQuery, 2> queries;
    std::shared_ptr<const ConfigurationView> lastView;

    mutable std::mutex viewMutex;
    std::shared_ptr<const ConfigurationView> publishedView;
    std::atomic<bool> publishedHistoryComplete { false };
    std::atomic<std::int64_t> confirmedAt { 0 }; // steady clock ticks; 0 when never confirmed
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
