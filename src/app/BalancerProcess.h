#pragma once

#include "app/ControlPlane.h"
#include "app/PacketForwarder.h"
#include "app/Settings.h"
#include "support/Logger.h"
#include "support/Metrics.h"
#include "transport/EventLoop.h"
#include "transport/SignalWatch.h"
#include "transport/UdpSocket.h"
#include "transport/Wakeup.h"

#include <atomic>
#include <chrono>
#include <memory>
#include <string>

namespace chicoryferry {

// A balancer: the data thread forwards packets, the control plane keeps the configuration, the admin server answers
// operators.
class BalancerProcess {
public:
    explicit BalancerProcess(Settings);

    // Runs until SIGTERM or SIGINT, then forwards on until the fabric has stopped sending.
    void run();

private:
    void applyView();
    void takePackets();
    bool isQuiet() const;
    std::string status() const;

    Settings settings;
    SignalWatch signals;
    Logger logger;
    Metrics metrics;
    Wakeup wakeup;
    UdpSocket socket;
    PacketForwarder forwarder;
    EventLoop loop;
    ControlPlane control;
    std::atomic<bool> ready { false };
    std::atomic<bool> draining { false };
    std::chrono::steady_clock::time_point lastPacket;
    std::chrono::steady_clock::time_point drainStart;
    std::shared_ptr<const ConfigurationView> currentView;
};

}
