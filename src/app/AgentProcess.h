#pragma once

#include "app/ControlPlane.h"
#include "app/FlowIntake.h"
#include "app/FlowTransfer.h"
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

// An agent. Its data thread owns flows, HTTP and requests; the control plane keeps the configuration, the admin server
// answers operators.
class AgentProcess {
public:
    explicit AgentProcess(Settings);

    // Runs until SIGTERM or SIGINT, then until no flow and no request is left or the drain limit has passed.
    void run();

private:
    using TimePoint = std::chrono::steady_clock::time_point;

    EdgeBroker edgeBroker();
    void watchDescriptors();
    void step();
    std::chrono::milliseconds nextTimeout() const;
    void takePackets();
    void takeControl();
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
    FlowIntake intake;
    ControlPlane control;
    RequestBroker broker;
    HttpEdge edge;
    FlowTransfer transfer;
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
