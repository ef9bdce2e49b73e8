#pragma once

#include "app/NodeSettings.h"
#include "app/SettingsReload.h"
#include "app/SteeringMessages.h"
#include "coordination/AgentAction.h"
#include "coordination/EvacuationStatus.h"
#include "coordination/HostAdmission.h"
#include "coordination/ReportRecipients.h"
#include "support/EventLog.h"
#include "support/Metrics.h"
#include "transport/EventLoop.h"
#include "transport/SignalWatch.h"
#include "transport/UdpSocket.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chicoryferry {

// An agent on the users' platform. Forwards packets between balancers, the backend server on its machine and callers,
// and uses HostAdmission to decide which flows the backend server is given.
class AgentNode {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // settingsPath: the file that the settings were read from; it is polled for changes.
    AgentNode(NodeSettings, std::string settingsPath);

    // Runs until SIGTERM. Then returns when all flows have finished or shortly before the grace period ends.
    void run();

private:
    // A balancer from which a message was received.
    struct Balancer {
        TimePoint lastHeard;
        std::vector<VerdictMessage> verdicts; // waiting to be sent
        std::uint32_t reportedOccupied { 0 };
        TimePoint lastReport;
        bool reportDue { false }; // send a report even if the load has not changed
    };

    void receivePeerMessages();
    void receiveBackendServerPackets();
    void handleSteeredPacket(const Endpoint& balancer, const SteerPacket&, TimePoint now);
    void handleHello(const Endpoint& balancer, const HelloMessage&, TimePoint now);
    void perform(TimePoint now);
    void queueVerdict(const SendVerdict&, TimePoint now);
    void logAnswer(const ReportAnswer&);
    void sendReports(TimePoint now);
    std::vector<std::uint32_t> otherLiveBalancers(const Endpoint&, TimePoint now) const;
    void sendReport(const Endpoint& address, Balancer&, TimePoint now);
    void tick(TimePoint now);
    void onSettings(const NodeSettings&);
    void startShutdown(TimePoint now);
    bool isStopped(TimePoint now) const;
    std::chrono::milliseconds timeout(TimePoint now) const;
    std::string status() const;

    NodeSettings settings;
    SignalWatch signals;
    EventLog log;
    Metrics metrics;
    EventLoop loop;
    UdpSocket peerSocket;
    UdpSocket backendServerSocket;
    HostAdmission admission;
    SettingsReload reload;
    SteeringMessages messages;
    std::vector<AgentAction> actions;
    std::map<Endpoint, Balancer> balancers;
    ReportRecipients recipients;
    EvacuationStatus evacuation;
    TimePoint nextTick;
    TimePoint nextReports;
    TimePoint stopSince;
    bool stopping { false };
    std::atomic<bool> ready { false };
    std::atomic<std::uint64_t> flowCount { 0 };
};

}
