#pragma once

#include "app/NodeSettings.h"
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

// A balancer on the users' platform: takes callers' packets, asks FlowSteering, forwards them to agents.
class BalancerNode {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // settingsPath: of the file that the settings were read from; it is watched for changes.
    BalancerNode(NodeSettings, std::string settingsPath);

    // Returns after SIGTERM, when the routers have stopped sending packets.
    void run();

private:
    void takePackets();
    void takeMessages();
    void takeReport(const Endpoint& agent, const ReportMessage&, TimePoint now);
    void onDirectoryChange();
    void onSettings(const NodeSettings&);
    void perform();
    void steer(const SteerPacket&);
    void reset(const SendReset&);
    void noticePause(std::chrono::nanoseconds now);
    void tick(TimePoint now);
    void sendHellos(TimePoint now);
    void takeHello(const Endpoint& peer, const HelloMessage&, TimePoint now);
    void learnPeers(const std::vector<std::uint32_t>& addresses, TimePoint now);
    void followPeers(TimePoint now);
    void publishSnapshot();
    std::string snapshot() const;
    void startStop(TimePoint now);
    bool isStopped(TimePoint now) const;
    std::chrono::milliseconds timeout(TimePoint now) const;
    std::string status() const;

    NodeSettings settings;
    std::uint64_t lifetime;
    SignalWatch signals;
    EventLog log;
    Metrics metrics;
    EventLoop loop;
    UdpSocket packetSocket;
    UdpSocket peerSocket;
    SettingsReload reload;
    HostDirectory directory;
    FlowPlacement placement;
    FlowSteering steering;
    StoreReader reader;
    PeerBalancers peers;
    SteeringMessages messages;
    std::vector<SteeringAction> actions;
    TimePoint nextHello;
    TimePoint lastPacket;
    TimePoint stopSince;
    TimePoint nextExpiry;
    std::chrono::nanoseconds lastTurn { 0 }; // of the clock that counts while the machine is suspended
    std::optional<TimePoint> behindSince; // a peer has known more than this process
    bool discardingStale { false };
    bool stopping { false };
    mutable std::mutex snapshotMutex; // the snapshot is read by the threads that serve HTTP
    std::string encodedSnapshot;
    std::uint64_t snapshotRevision { 0 }; // of the store, at which the snapshot was encoded
    std::atomic<bool> ready { false };
    std::atomic<std::uint64_t> configurationVersion { 0 };
    std::atomic<std::uint64_t> flowCount { 0 };
};

}
