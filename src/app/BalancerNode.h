#pragma once

#include "app/NodeSettings.h"
#include "app/PublishedSnapshot.h"
#include "app/SettingsReload.h"
#include "app/SteeringMessages.h"
#include "app/StoreReader.h"
#include "coordination/FlowPlacement.h"
#include "coordination/FlowSteering.h"
#include "state/HostDirectory.h"
#include "state/PeerBalancers.h"
#include "support/EventLog.h"
#include "support/Metrics.h"
#include "transport/EventLoop.h"
#include "transport/SignalWatch.h"
#include "transport/UdpSocket.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

// A balancer on the users' platform. Receives callers' packets and forwards each to the agent that FlowSteering
// selects.
class BalancerNode {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // settingsPath: the file that the settings were read from; it is polled for changes.
    BalancerNode(NodeSettings, std::string settingsPath);

    // Runs until SIGTERM. Then returns when the routers have stopped sending packets or shortly before the grace period
    // ends.
    void run();

private:
    void receivePackets();
    void receivePeerMessages();
    void handleReport(const Endpoint& agent, const ReportMessage&, TimePoint now);
    void onDirectoryChange();
    void onSettings(const NodeSettings&);
    void perform();
    void sendSteeredPacket(const SteerPacket&);
    void sendReset(const SendReset&);
    void logWithheldReset(const WithholdReset&);
    void logSkippedService(const ReportSkippedService&);
    void sendQuery(const AskAgents&);
    void logFailedSearch(const ReportFailedSearch&);
    void detectPause(std::chrono::nanoseconds now);
    void tick(TimePoint now);
    void sendHellos(TimePoint now);
    void logSelections();
    void expireHosts(TimePoint now);
    void handleHello(const Endpoint& peer, const HelloMessage&, TimePoint now);
    void learnPeers(const std::vector<std::uint32_t>& addresses, TimePoint now);
    void synchronizeWithPeers(TimePoint now);
    // Fetches newer changes or a newer configuration from a peer. Returns whether a peer has newer changes.
    bool fetchNewerState(bool isReader, TimePoint now);
    // Resolves a difference from peers that announce the same store version with other entries.
    void resolveDifference(bool isReader, TimePoint now);
    void startShutdown(TimePoint now);
    bool isStopped(TimePoint now) const;
    std::chrono::milliseconds timeout(TimePoint now) const;
    std::string status() const;

    NodeSettings settings;
    std::uint64_t incarnation; // random number drawn at each start of the process
    SignalWatch signals;
    EventLog log;
    Metrics metrics;
    EventLoop loop;
    UdpSocket packetSocket;
    UdpSocket peerSocket;
    SettingsReload reload;
    HostDirectory directory;
    PublishedSnapshot snapshot;
    FlowPlacement placement;
    FlowSteering steering;
    StoreReader reader;
    PeerBalancers peers;
    SteeringMessages messages;
    std::vector<SteeringAction> actions;
    TimePoint nextHello;
    TimePoint nextAgentHello;
    TimePoint lastPacket;
    TimePoint stopSince;
    TimePoint nextExpiry;
    std::chrono::nanoseconds lastWakeup { 0 }; // of a clock that advances while the machine is suspended
    std::optional<TimePoint> behindSince; // since when a peer has had a newer store revision
    BalancerState announced; // in the last hello
    std::optional<TimePoint> listedSince; // when all hosts were first known
    std::optional<TimePoint> differentSince; // since when a peer has had other entries at the same store version
    TimePoint lastDifference;
    TimePoint nextResolution; // earliest time of the next step to resolve a difference
    std::chrono::milliseconds resolutionDelay { 0 };
    TimePoint nextConfigurationFetch; // bounds the calls while a peer announces a version that it does not hand out yet
    bool discardingStalePackets { false };
    bool stopping { false };
    std::atomic<bool> ready { false };
    std::atomic<std::uint64_t> configurationVersion { 0 };
    std::atomic<std::uint64_t> flowCount { 0 };
};

}
