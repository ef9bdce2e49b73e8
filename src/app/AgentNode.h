#pragma once

#include "app/NodeSettings.h"
#include "app/SettingsReload.h"
#include "app/SteeringMessages.h"
#include "coordination/AgentAction.h"
#include "coordination/HostAdmission.h"
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

// An agent on the users' platform: delivers packets between balancers, its backend server and callers, and decides with
// HostAdmission which flows the backend server gets.
class AgentNode {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // settingsPath: of the file that the settings were read from; it is watched for changes.
    AgentNode(NodeSettings, std::string settingsPath);

    // Returns after SIGTERM, when the flows are finished or the grace period ends.
    void run();

private:
    // A balancer that has been heard of.
    struct Balancer {
        TimePoint lastHeard;
        std::vector<VerdictMessage> verdicts; // not sent yet
        std::uint32_t reportedOccupied { 0 };
        TimePoint lastReport;
        bool due { false }; // a report is owed, whether or not the load has changed
    };

    void takeMessages();
    void takeHostPackets();
    void takeSteered(const Endpoint& balancer, const SteerPacket&, TimePoint now);
    void perform(TimePoint now);
    void queueVerdict(const SendVerdict&, TimePoint now);
    void logAnswer(const ReportAnswer&);
    void sendReports(TimePoint now);
    std::vector<std::uint32_t> balancersFor(const Endpoint&, TimePoint now) const;
    void sendReport(const Endpoint& address, Balancer&, TimePoint now);
    void tick(TimePoint now);
    void onSettings(const NodeSettings&);
    void startStop(TimePoint now);
    bool isStopped(TimePoint now) const;
    std::chrono::milliseconds timeout(TimePoint now) const;
    std::string status() const;

    NodeSettings settings;
    SignalWatch signals;
    EventLog log;
    Metrics metrics;
    EventLoop loop;
    UdpSocket peerSocket;
    UdpSocket hostSocket;
    HostAdmission admission;
    SettingsReload reload;
    SteeringMessages messages;
    std::vector<AgentAction> actions;
    std::map<Endpoint, Balancer> balancers;
    TimePoint nextTick;
    TimePoint nextReports;
    TimePoint stopSince;
    bool stopping { false };
    std::atomic<bool> ready { false };
    std::atomic<std::uint64_t> flowCount { 0 };
};

}
