#pragma once

#include "app/ControlPlane.h"
#include "app/EnvelopeProcessor.h"
#include "app/FlowHandoverExecutor.h"
#include "app/HttpEdge.h"
#include "app/PacketOutbox.h"
#include "app/RequestBroker.h"
#include "app/Settings.h"
#include "coordination/FlowAdmission.h"
#include "state/FlowTable.h"
#include "support/Logger.h"
#include "support/Metrics.h"
#include "transport/EventLoop.h"
#include "transport/SignalWatch.h"
#include "transport/TcpStack.h"
#include "transport/UdpSocket.h"
#include "transport/Wakeup.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace chicoryferry {

// An agent process. Its data thread owns the flows, the HTTP edge and the requests. The control plane maintains the
// configuration on threads of its own, and the admin server serves metrics, health and status.
class AgentProcess {
public:
    explicit AgentProcess(Settings);

    // Runs until SIGTERM or SIGINT, then drains: returns when no flow, request or idempotency record is left to finish
    // or hand over and balancers have stopped sending, at the latest after the drain limit.
    void run();

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    BrokerCallbacks brokerCallbacks();
    void watchDescriptors();
    void step();
    std::chrono::milliseconds nextTimeout() const;
    void receivePackets();
    void receiveControlMessages();
    void applyView();
    void connectionEvent(const TcpEvent&);
    void connectionAccepted(const TcpAccepted&);
    void startDraining();
    bool isDrained() const;
    void updateGauges();
    std::string status() const;

    Settings settings;
    SignalWatch signals;
    Logger logger;
    Metrics metrics;
    Wakeup wakeup;
    EventLoop loop;
    UdpSocket socket;
    PacketOutbox outbox;
    FlowTable flows;
    FlowAdmission admission;
    TcpStack stack;
    EnvelopeProcessor envelopeProcessor;
    ControlPlane control;
    RequestBroker broker;
    HttpEdge edge;
    FlowHandoverExecutor handoverExecutor;
    std::shared_ptr<const ConfigurationView> currentView;
    TimePoint nextTick;
    TimePoint nextReconcile;
    TimePoint nextHandover;
    TimePoint lastPacket;
    TimePoint drainStart;
    std::uint64_t reportedSocketDrops { 0 };
    std::atomic<bool> ready { false };
    std::atomic<bool> draining { false };
    std::atomic<std::size_t> flowCount { 0 };
    std::atomic<std::size_t> requestCount { 0 };
};

}
