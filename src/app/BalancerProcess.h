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

// A balancer process. The data thread forwards packets, the control plane maintains the configuration on threads of its
// own, and the admin server serves metrics, health and status.
class BalancerProcess {
public:
    explicit BalancerProcess(Settings);

    // Runs until SIGTERM or SIGINT, then keeps forwarding until the network fabric has stopped sending, for a limited
    // time.
    void run();

private:
    void applyView();
    void forwardPackets();
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
