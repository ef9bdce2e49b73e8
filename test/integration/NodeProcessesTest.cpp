// Runs the agent and balancer of chicoryferry-node as real processes; the test acts as store, caller and backend
// server. Guards against packets that are modified in transit, flows without a route that are not reset, and settings
// that are not reloaded or that end the process when they are invalid.

#include "ChildProcess.h"
#include "StoreStandin.h"
#include "protocol/Endpoint.h"
#include "transport/SocketAddress.h"
#include "transport/UdpSocket.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <nlohmann/json.hpp>
#include <optional>
#include <poll.h>
#include <random>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace chicoryferry;
using namespace chicoryferry::integration;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

using Bytes = std::vector<std::uint8_t>;

constexpr std::uint8_t flagSyn = 2;
constexpr std::uint8_t flagReset = 32;
constexpr std::uint8_t flagAcknowledge = 64;
constexpr std::size_t flagsOffset = 28;
constexpr std::size_t maxPayload = 1200;
constexpr std::size_t headerBytes = 32;

// Offsets and byte order follow the platform's example of a first packet.
Bytes makePacket(const Endpoint& from, const Endpoint& to, std::uint32_t sequence, std::uint32_t acknowledgement,
    std::uint8_t flags, const Bytes& payload, std::mt19937& random)
{
    Bytes bytes;
    const auto append = [&bytes](std::uint32_t value, int count) {
        for (int index = 0; index < count; ++index) {
            bytes.push_back(static_cast<std::uint8_t>(value >> (8 * index)));
        }
    };
    append(static_cast<std::uint32_t>(random()), 4); // checksum; random, because only the endpoints can compute it
    append(sequence, 4);
    append(acknowledgement, 4);
    append(to.port, 2);
    append(to.address, 4);
    append(from.address, 4);
    append(from.port, 2);
    append(0, 4);
    append(flags, 1);
    append(0, 1);
    append(static_cast<std::uint32_t>(payload.size()), 2);
    bytes.insert(bytes.end(), payload.begin(), payload.end());
    return bytes;
}

// One balancer and one agent. Every test process uses its own loopback addresses, because the ports are fixed.
class SmallFleet {
public:
    SmallFleet()
    {
        this->store.write("op/config",
            R"({"version":3,"routes":[{"name":"r","hostname":"198.18.0.1","prefix":"/443/","route-type":"safe",)"
            R"("timeout-ms":1000,"target-latency-ms":100,"priority":1,"service":"job"}],"services":[]})");
        this->store.write("servers/i-1",
            fmt::format(R"({{"service":"job","address":"{}","zone":"a","version":"v1","slots":2,"state":"ready",)"
                        R"("cold-remaining-ms":0,"seq":1,"born":1790000000000}})",
                formatEndpoint(this->hostAddress)));
        this->writeSettings("agent", this->agentIp, "grace-s=3", "service=job");
        this->writeSettings("balancer", this->balancerIp, "grace-s=3", "");
        this->startAgent();
        this->startBalancer();
    }

    ~SmallFleet()
    {
        this->agent.reset();
        this->balancer.reset();
        this->peer.reset();
        std::filesystem::remove_all(this->directory);
    }

    // Starts the agent, or kills it and starts a new process.
    void startAgent()
    {
        this->agent.reset();
        this->agent = std::make_unique<ChildProcess>(
            "node-agent", std::vector<std::string> { NODE_BINARY, "agent", "--settings", this->path("agent") });
        this->agent->waitForEvent("started");
    }

    // Starts the balancer, or replaces it by a new process, and waits for the event.
    void startBalancer(const std::string& event = "ready")
    {
        this->balancer.reset();
        this->balancer = std::make_unique<ChildProcess>("node-balancer",
            std::vector<std::string> { NODE_BINARY, "balancer", "--settings", this->path("balancer") });
        this->balancer->waitForEvent(event);
    }

    // A configuration with a route to the address 198.18.0.NUMBER; `target` is its member that names services.
    static std::string configuration(std::uint64_t version, int number, const std::string& target)
    {
        return fmt::format(R"({{"version":{},"routes":[{{"name":"r","hostname":"198.18.0.{}","prefix":"/443/",)"
                           R"("route-type":"safe","timeout-ms":1000,"target-latency-ms":100,"priority":1,{}}}],)"
                           R"("services":[]}})",
            version, number, target);
    }

    void writeConfiguration(std::uint64_t version, int number, const std::string& target)
    {
        this->store.write("op/config", configuration(version, number, target));
    }

    // Waits for a line of the balancer's log with the event and the field's value.
    bool balancerLogs(const std::string& event, const std::string& field, const nlohmann::json& value,
        milliseconds timeout = seconds(10))
    {
        return logs(*this->balancer, event, field, value, timeout);
    }

    static bool logs(ChildProcess& process, const std::string& event, const std::string& field,
        const nlohmann::json& value, milliseconds timeout)
    {
        const auto limit = std::chrono::steady_clock::now() + timeout;
        while (std::chrono::steady_clock::now() < limit) {
            for (const auto& line : process.events(event)) {
                if (line.value(field, nlohmann::json()) == value) {
                    return true;
                }
            }
            usleep(10000);
        }
        return false;
    }

    // Opens a flow to 198.18.0.NUMBER at the backend server and resets it again.
    void checkServed(int number)
    {
        const Endpoint to { parseAddress(fmt::format("198.18.0.{}", number)), 443 };
        const Endpoint from { this->callerIp, this->nextPort++ };
        this->checkForwarded(this->callerSocket, this->balancerPackets, this->hostSocket,
            makePacket(from, to, 1, 0, flagSyn, {}, this->random));
        this->checkForwarded(this->hostSocket, this->outbound, this->callerSocket,
            makePacket(to, from, 100, 2, flagSyn | flagAcknowledge, {}, this->random));
        this->checkForwarded(this->callerSocket, this->balancerPackets, this->hostSocket,
            makePacket(from, to, 2, 101, flagReset | flagAcknowledge, {}, this->random));
    }

    // A packet of the caller's flow after the handshake, in which the backend server's sequence number is 100.
    Bytes laterPacket(const Endpoint& from, std::uint32_t sequence, const Bytes& payload)
    {
        return makePacket(from, this->service, sequence, 101, flagAcknowledge, payload, this->random);
    }

    // Opens a flow and returns its caller's end.
    Endpoint openFlow()
    {
        const Endpoint from { this->callerIp, this->nextPort++ };
        this->checkForwarded(this->callerSocket, this->balancerPackets, this->hostSocket,
            makePacket(from, this->service, 1, 0, flagSyn, {}, this->random));
        this->checkForwarded(this->hostSocket, this->outbound, this->callerSocket,
            makePacket(this->service, from, 100, 2, flagSyn | flagAcknowledge, {}, this->random));
        this->checkForwarded(
            this->callerSocket, this->balancerPackets, this->hostSocket, this->laterPacket(from, 2, {}));
        return from;
    }

    SmallFleet(const SmallFleet&) = delete;
    SmallFleet& operator=(const SmallFleet&) = delete;

    // Starts another balancer, which reads another store, and waits until both have the same state.
    void startPeerBalancer(const Endpoint& peerStore)
    {
        this->writeSettings("peer", this->peerIp, "grace-s=3", "", peerStore);
        this->peer = std::make_unique<ChildProcess>(
            "node-peer", std::vector<std::string> { NODE_BINARY, "balancer", "--settings", this->path("peer") });
        this->peer->waitForEvent("ready");
    }

    // Waits for a line of the peer's log with the event and the field's value.
    bool peerLogs(const std::string& event, const std::string& field, const nlohmann::json& value,
        milliseconds timeout = seconds(10))
    {
        return logs(*this->peer, event, field, value, timeout);
    }

    // The value of the backend server's entry.
    std::string hostValue(const std::string& state, int coldRemainingMs, std::int64_t born = 1790000000000) const
    {
        return fmt::format(R"({{"service":"job","address":"{}","zone":"a","version":"v1","slots":2,"state":"{}",)"
                           R"("cold-remaining-ms":{},"seq":1,"born":{}}})",
            formatEndpoint(this->hostAddress), state, coldRemainingMs, born);
    }

    // Replaces the file atomically, as the platform does.
    void writeSettings(const std::string& role, std::uint32_t ip, const std::string& grace,
        const std::string& serviceLine, std::optional<Endpoint> otherStore = std::nullopt) const
    {
        const auto at = [ip](std::uint16_t port) { return formatEndpoint({ ip, port }); };
        std::string text = fmt::format("node-name={}-1\nzone=a\nip={}\nlisten.datagram-addr={}\nlisten.ready-addr={}\n"
                                       "internal-ports=7720,7735\nplatform.address={}\nbounds.{}\nseeds={}:8166\n",
            role, formatAddress(ip), at(packetPort), at(8167), formatEndpoint(otherStore.value_or(this->storeAddress)),
            grace, formatAddress(this->peerIp));
        if (!serviceLine.empty()) {
            text += fmt::format("app={}\nlisten.outbound={}\n{}\n", formatEndpoint(this->hostAddress),
                formatEndpoint(this->outbound), serviceLine);
        }
        std::ofstream(this->path(role) + ".new") << text;
        std::filesystem::rename(this->path(role) + ".new", this->path(role));
    }

    // Sends a datagram and checks that the receiver gets the same bytes.
    void checkForwarded(UdpSocket& from, const Endpoint& to, UdpSocket& receiver, const Bytes& bytes)
    {
        send(from, to, bytes);
        CHECK(receive(receiver) == bytes);
    }

    static void send(UdpSocket& from, const Endpoint& to, const Bytes& bytes)
    {
        from.queue(to, 0, bytes);
        from.flush();
    }

    // The next datagram; empty at the timeout.
    static Bytes receive(UdpSocket& socket, milliseconds timeout = seconds(5))
    {
        pollfd descriptor { socket.descriptor(), POLLIN, 0 };
        if (poll(&descriptor, 1, static_cast<int>(timeout.count())) <= 0) {
            return {};
        }
        const auto datagrams = socket.receive();
        REQUIRE(datagrams.size() == 1);
        return { datagrams.front().bytes.begin(), datagrams.front().bytes.end() };
    }

    // Sends the first packet of a new flow and returns the packet that the caller gets back; empty at the timeout.
    Bytes answerToFirstPacket(const Endpoint& destination)
    {
        const Endpoint from { this->callerIp, this->nextPort++ };
        send(this->callerSocket, this->balancerPackets, makePacket(from, destination, 1, 0, flagSyn, {}, this->random));
        return receive(this->callerSocket);
    }

    std::string path(const std::string& role) const { return this->directory / (role + ".conf"); }

    static constexpr std::uint16_t packetPort = 8172;

    std::mt19937 random { 20261204 };
    std::filesystem::path directory
        = std::filesystem::temp_directory_path() / fmt::format("chicoryferry-nodes-{}", getpid());
    bool created { std::filesystem::create_directories(this->directory) };
    // A /24 within 127.64.0.0/10, selected by the low 14 bits of the process id.
    std::uint32_t network { 0x7F400000U + ((static_cast<std::uint32_t>(getpid()) & 0x3FFFU) << 8U) };
    std::uint32_t balancerIp { this->network + 1 };
    std::uint32_t agentIp { this->network + 2 };
    std::uint32_t callerIp { this->network + 3 };
    std::uint32_t peerIp { this->network + 5 };
    Endpoint storeAddress { this->network + 4, 8169 };
    Endpoint balancerPackets { this->balancerIp, packetPort };
    Endpoint hostAddress { this->agentIp, 8165 };
    Endpoint outbound { this->agentIp, 8162 };
    Endpoint service { parseEndpoint("198.18.0.1:443") };
    std::uint16_t nextPort { 40001 };
    StoreStandin store { this->storeAddress };
    UdpSocket callerSocket { { this->callerIp, packetPort } };
    UdpSocket hostSocket { this->hostAddress };
    std::unique_ptr<ChildProcess> agent;
    std::unique_ptr<ChildProcess> balancer;
    std::unique_ptr<ChildProcess> peer;
};

// While a watch fails, a listing and a watch follow each other at intervals that grow from 0.1 s to 1 s.
constexpr std::size_t maximumCallsPerSecond = 8;

bool isReset(const Bytes& packet) { return packet.size() == headerBytes && packet[flagsOffset] == flagReset; }

}

TEST_CASE("packets are forwarded unchanged in both directions, and a flow without a route is reset [MIXED, UNASKED]")
{
    SmallFleet fleet;
    const Endpoint caller { fleet.callerIp, fleet.nextPort++ };
    Bytes payload(maxPayload);
    std::generate(payload.begin(), payload.end(), [&] { return static_cast<std::uint8_t>(fleet.random()); });
    const auto request
        = [&](std::uint32_t sequence, std::uint32_t acknowledgement, std::uint8_t flags, const Bytes& bytes) {
              return makePacket(caller, fleet.service, sequence, acknowledgement, flags, bytes, fleet.random);
          };
    const auto answer
        = [&](std::uint32_t sequence, std::uint32_t acknowledgement, std::uint8_t flags, const Bytes& bytes) {
              return makePacket(fleet.service, caller, sequence, acknowledgement, flags, bytes, fleet.random);
          };
    fleet.checkForwarded(fleet.callerSocket, fleet.balancerPackets, fleet.hostSocket, request(7, 0, flagSyn, {}));
    fleet.checkForwarded(
        fleet.hostSocket, fleet.outbound, fleet.callerSocket, answer(100, 8, flagSyn | flagAcknowledge, {}));
    fleet.checkForwarded(
        fleet.callerSocket, fleet.balancerPackets, fleet.hostSocket, request(8, 101, flagAcknowledge, payload));
    fleet.checkForwarded(
        fleet.hostSocket, fleet.outbound, fleet.callerSocket, answer(101, 1208, flagAcknowledge, payload));
    CHECK(isReset(fleet.answerToFirstPacket(parseEndpoint("198.18.0.9:443"))));
    CHECK(SmallFleet::receive(fleet.hostSocket, milliseconds(100)).empty());
}

TEST_CASE("settings are reloaded with and without a signal, and invalid ones are ignored")
{
    SmallFleet fleet;
    // Without a signal: the backend server now belongs to another service.
    fleet.writeSettings("agent", fleet.agentIp, "grace-s=3", "service=drawing");
    CHECK(fleet.agent->waitForEvent("settings_reloaded").value("signal", -1) == 0);
    CHECK(isReset(fleet.answerToFirstPacket(fleet.service)));
    CHECK(SmallFleet::receive(fleet.hostSocket, milliseconds(100)).empty());
    // With SIGHUP: the file is invalid, and the settings in force are kept.
    fleet.writeSettings("agent", fleet.agentIp, "grace-s=many", "service=job");
    fleet.agent->send(SIGHUP);
    CHECK(fleet.agent->waitForEvent("settings_refused").value("reason", "").find("grace-s") != std::string::npos);
    CHECK(isReset(fleet.answerToFirstPacket(fleet.service)));
    // With SIGHUP: a valid file is loaded.
    fleet.writeSettings("agent", fleet.agentIp, "grace-s=3", "service=job");
    fleet.agent->send(SIGHUP);
    const auto limit = std::chrono::steady_clock::now() + seconds(5);
    while (fleet.agent->events("settings_reloaded").size() < 2 && std::chrono::steady_clock::now() < limit) {
        usleep(10000);
    }
    const Endpoint caller { fleet.callerIp, fleet.nextPort++ };
    fleet.checkForwarded(fleet.callerSocket, fleet.balancerPackets, fleet.hostSocket,
        makePacket(caller, fleet.service, 1, 0, flagSyn, {}, fleet.random));
    // SIGTERM shuts the processes down gracefully within the grace period.
    fleet.agent->send(SIGTERM);
    fleet.balancer->send(SIGTERM);
    REQUIRE(fleet.agent->waitForExit(seconds(3)));
    CHECK(fleet.agent->exitStatus() == 0);
    REQUIRE(fleet.balancer->waitForExit(seconds(3)));
    CHECK(fleet.balancer->exitStatus() == 0);
}

TEST_CASE("a flow is placed while the store is down [platform outage]")
{
    SmallFleet fleet;
    fleet.store.setDown(true);
    fleet.balancer->waitForEvent("store_lost");
    const Endpoint caller { fleet.callerIp, fleet.nextPort++ };
    fleet.checkForwarded(fleet.callerSocket, fleet.balancerPackets, fleet.hostSocket,
        makePacket(caller, fleet.service, 1, 0, flagSyn, {}, fleet.random));
    fleet.store.setDown(false);
    fleet.balancer->waitForEvent("store_regained");
}

TEST_CASE("odd entries that stay in the store keep nobody from following it [LOST]")
{
    SmallFleet fleet;
    // Seen before the fix: one of these made every reader give up the whole answer, again with each call.
    fleet.store.writeItem("odd-number", "7");
    fleet.store.writeItem("odd-range", R"({"key":"servers/range","value":"eA==","revision":1e400})");
    fleet.store.writeItem("odd-key", R"({"key":null,"value":null})");
    fleet.store.write("servers/nested", std::string(300000, '[') + std::string(300000, ']'));
    fleet.store.write("servers/port",
        R"({"service":"job","address":"10.128.0.9:70000","zone":"a","slots":2,"state":"ready","born":1})");
    fleet.store.write("servers/born",
        R"({"service":"job","address":"10.128.0.9:80","zone":"a","slots":2,"state":"ready","born":18446744073709551615})");
    for (const char* entry : { "without key", "nested", "port", "born" }) {
        CAPTURE(entry);
        CHECK(fleet.balancerLogs("change_refused", "entry", entry));
    }
    // An unreadable configuration stays out of force, and hosts of the same answer are taken.
    fleet.writeConfiguration(5, 1, R"("target":"job")");
    fleet.store.write("servers/i-2",
        R"({"service":"drawing","address":"127.0.0.1:9","zone":"a","slots":2,"state":"ready","born":1})");
    CHECK(fleet.balancerLogs("change_refused", "entry", "configuration"));
    CHECK(fleet.balancerLogs("host_changed", "host", "i-2"));
    fleet.checkServed(1);
    // A later configuration is followed by the running balancer and by one that starts now.
    fleet.writeConfiguration(6, 2, R"("service":"job")");
    CHECK(fleet.balancerLogs("configuration_in_force", "configuration", 6));
    fleet.checkServed(2);
    fleet.startBalancer();
    CHECK(fleet.balancerLogs("configuration_in_force", "configuration", 6));
    fleet.checkServed(2);
    CHECK(fleet.balancer->events("store_lost").empty());
    CHECK(fleet.agent->running());
}

// review/1: entries with the address of a live host hid the host, and its open flows were lost to other balancers.
TEST_CASE("entries of another writer with the address of a live host do not hide it [FLOW]")
{
    SmallFleet fleet;
    const Endpoint caller { fleet.callerIp, fleet.nextPort++ };
    fleet.checkForwarded(fleet.callerSocket, fleet.balancerPackets, fleet.hostSocket,
        makePacket(caller, fleet.service, 1, 0, flagSyn, {}, fleet.random));
    fleet.checkForwarded(fleet.hostSocket, fleet.outbound, fleet.callerSocket,
        makePacket(fleet.service, caller, 100, 2, flagSyn | flagAcknowledge, {}, fleet.random));
    fleet.checkForwarded(fleet.callerSocket, fleet.balancerPackets, fleet.hostSocket,
        makePacket(caller, fleet.service, 2, 101, flagAcknowledge, {}, fleet.random));
    fleet.writeConfiguration(
        5, 1, R"("weighted-backends":[{"service":"job","weight":99},{"service":"drawing","weight":1}])");
    for (const char* service : { "press-room", "drawing" }) {
        for (const int port : { 8165, 9 }) {
            fleet.store.write(fmt::format("servers/odd-{}-{}", service, port),
                fmt::format(R"({{"service":"{}","address":"{}","zone":"a","slots":2,"state":"ready",)"
                            R"("born":1790000001000}})",
                    service, formatEndpoint({ fleet.agentIp, static_cast<std::uint16_t>(port) })));
        }
    }
    CHECK(fleet.balancerLogs("host_changed", "host", "odd-drawing-9"));
    fleet.checkServed(1);
    // Another balancer, which has to search the open flow.
    fleet.startBalancer();
    CHECK(fleet.balancerLogs("entry_selected", "host", "i-1"));
    fleet.checkForwarded(fleet.callerSocket, fleet.balancerPackets, fleet.hostSocket,
        makePacket(caller, fleet.service, 2, 101, flagAcknowledge, { 1 }, fleet.random));
    fleet.checkServed(1);
}

// review/3: all entries of the new lifetime were refused, so that a draining host stayed in use.
TEST_CASE("a host that restarts while its clock is stepped back is followed [DRAIN]")
{
    SmallFleet fleet;
    fleet.checkServed(1);
    fleet.store.write("servers/i-1", fleet.hostValue("ready", 2000, 1789999997600));
    fleet.store.write("servers/i-1", fleet.hostValue("draining", 0, 1789999997600));
    CHECK(fleet.balancerLogs("host_changed", "state", "draining"));
    CHECK(isReset(fleet.answerToFirstPacket(fleet.service)));
    CHECK(SmallFleet::receive(fleet.hostSocket, milliseconds(100)).empty());
}

// review/4: the same watch was repeated for ever, and the old configuration stayed in force.
TEST_CASE("changes above the limit of an answer are read by a listing [CONFIG]")
{
    SmallFleet fleet;
    fleet.store.setDown(true);
    fleet.balancer->waitForEvent("store_lost");
    // Each value is below the limit of a value, 1 MB; their sum exceeds that of an answer, 4 MB.
    const std::string padding(900000, 'x');
    for (int number = 0; number < 5; ++number) {
        fleet.store.write(fmt::format("padding/{}", number), padding);
    }
    fleet.writeConfiguration(9, 2, R"("service":"job")");
    fleet.store.setDown(false);
    CHECK(fleet.balancerLogs("configuration_in_force", "configuration", 9));
    fleet.checkServed(2);
}

// review/2: a watch answer that a partition had delayed returned a draining host to use, until the host exited.
TEST_CASE("a late watch answer does not undo the newer state of a peer [DRAIN]")
{
    SmallFleet fleet;
    StoreStandin peerStore({ fleet.network + 6, 8169 });
    const auto writeHost = [&](const std::string& state, int coldRemainingMs) {
        fleet.store.write("servers/i-1", fleet.hostValue(state, coldRemainingMs));
        peerStore.write("servers/i-1", fleet.hostValue(state, coldRemainingMs));
    };
    // Both stores have the same changes, in the same order as the first one.
    for (int revision = 1; revision <= 3; ++revision) {
        peerStore.write("op/config", SmallFleet::configuration(4, 1, R"("service":"job")"));
    }
    fleet.writeConfiguration(4, 1, R"("service":"job")");
    writeHost("ready", 900);
    CHECK(fleet.balancerLogs("host_changed", "revision", 4));
    fleet.startPeerBalancer({ fleet.network + 6, 8169 });
    fleet.store.setHoldingWatches(true);
    writeHost("ready", 100); // the answer with this revision is late
    usleep(300000);
    writeHost("draining", 0);
    CHECK(fleet.balancerLogs("peer_state_taken", "revision", 6));
    fleet.store.setHoldingWatches(false);
    usleep(500000);
    const auto states = fleet.balancer->events("host_changed");
    REQUIRE_FALSE(states.empty());
    CHECK(states.back().value("state", "") == "draining");
    CHECK(isReset(fleet.answerToFirstPacket(fleet.service)));
    CHECK(SmallFleet::receive(fleet.hostSocket, milliseconds(100)).empty());
}

// Guards against resets of open flows by an agent that concludes from the start time of its backend server that it has
// seen all of its flows. A clock that is stepped back makes an earlier start look like a later one.
TEST_CASE("an agent that restarts soon after its backend server's start does not deny that server's flows [FLOW]")
{
    milliseconds ahead { 0 };
    SUBCASE("the clock is right") { }
    SUBCASE("the clock has been stepped back since the backend server's start") { ahead = milliseconds(700); }
    SmallFleet fleet;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto born = std::chrono::duration_cast<milliseconds>(now + ahead).count();
    fleet.store.write("servers/i-1", fleet.hostValue("ready", 0, born));
    CHECK(fleet.balancerLogs("host_changed", "revision", 3));
    const Endpoint caller = fleet.openFlow();
    fleet.checkForwarded(
        fleet.callerSocket, fleet.balancerPackets, fleet.hostSocket, fleet.laterPacket(caller, 2, { 1 }));
    fleet.startAgent();
    std::this_thread::sleep_for(ahead);
    fleet.openFlow(); // the restarted agent learns of the backend server from the offer of another flow
    fleet.checkForwarded(
        fleet.callerSocket, fleet.balancerPackets, fleet.hostSocket, fleet.laterPacket(caller, 3, { 2 }));
    CHECK(SmallFleet::receive(fleet.callerSocket, milliseconds(300)).empty());
}

// Guards against a balancer that takes the revisions of an earlier era of the store for ones of the era that it has
// just begun to list. It then refuses newer entries, and flows go to a draining host.
TEST_CASE("a peer's state of an earlier era is not taken between two pages of a listing [DRAIN]")
{
    SmallFleet fleet;
    fleet.balancer.reset();
    // The peer cannot see that the store has come back from a copy.
    StoreStandin peerStore({ fleet.network + 6, 8169 });
    peerStore.write("op/config", SmallFleet::configuration(3, 1, R"("service":"job")"));
    for (int change = 0; change < 20; ++change) {
        peerStore.write("servers/i-1", fleet.hostValue("ready", 0));
    }
    fleet.startPeerBalancer({ fleet.network + 6, 8169 });
    fleet.peer->send(SIGSTOP);
    fleet.store.keepCopy();
    fleet.store.restoreCopy();
    fleet.store.setPageItems(1);
    fleet.store.setHoldingFurtherPages(true);
    fleet.startBalancer("store_era");
    fleet.peer->send(SIGCONT);
    usleep(1500000); // the peer announces its state four times a second
    CHECK(fleet.balancer->events("peer_state_taken").empty());
    fleet.store.setHoldingFurtherPages(false);
    fleet.balancer->waitForEvent("ready");
    fleet.checkServed(1);
    fleet.store.write("servers/i-1", fleet.hostValue("draining", 0));
    CHECK(fleet.balancerLogs("host_changed", "state", "draining"));
    CHECK(isReset(fleet.answerToFirstPacket(fleet.service)));
    CHECK(SmallFleet::receive(fleet.hostSocket, milliseconds(100)).empty());
}

namespace {

// Two balancers at the same version of the store, of which the peer lacks the backend server: it reads a store of its
// own, which has another one in its place and does not answer any more.
class GappedPeer {
public:
    GappedPeer()
    {
        this->store.write("op/config", SmallFleet::configuration(3, 1, R"("service":"job")"));
        this->store.write("servers/i-9",
            R"({"service":"job","address":"127.0.0.1:9","zone":"a","slots":2,"state":"ready","born":1})");
        this->fleet.balancer.reset();
        this->fleet.startPeerBalancer(this->storeAddress);
        this->store.setDown(true);
        this->fleet.peer->waitForEvent("store_lost");
    }

    SmallFleet fleet;
    Endpoint storeAddress { this->fleet.network + 6, 8169 };
    StoreStandin store { this->storeAddress };
};

// What a peer or the store has must be known within this time.
constexpr milliseconds recoveryBound = seconds(3);

}

// Guards against FLOW: a balancer that lacks a host for good, since nothing changes in the store.
TEST_CASE("a balancer with a gap takes over the entries of the reader at the same version [FLOW]")
{
    GappedPeer test;
    test.fleet.startBalancer();
    CHECK(test.fleet.peerLogs("host_changed", "host", "i-1", recoveryBound));
    CHECK(test.fleet.peerLogs("host_expired", "host", "i-9"));
    CHECK(test.fleet.balancer->events("peer_state_merged").empty());
}

// Guards against FLOW: a gap that a reader takes over from a peer when it starts, and passes on.
TEST_CASE("a reader that starts with a peer's directory lists the store itself [FLOW]")
{
    GappedPeer test;
    test.fleet.store.setPageItems(1);
    test.fleet.store.setHoldingFurtherPages(true);
    test.fleet.startBalancer("peer_state_taken");
    test.fleet.store.setHoldingFurtherPages(false);
    CHECK(test.fleet.balancerLogs("host_changed", "host", "i-1", recoveryBound));
    test.fleet.checkServed(1);
}

// Guards against FLOW: a gap that stays while the store answers nobody.
TEST_CASE("balancers complete their entries from each other while the store is down [FLOW]")
{
    GappedPeer test;
    test.fleet.store.setHoldingWatches(true);
    test.fleet.startBalancer();
    test.fleet.peer->send(SIGSTOP);
    test.fleet.store.setDown(true);
    test.fleet.balancer->waitForEvent("store_lost");
    test.fleet.peer->send(SIGCONT);
    CHECK(test.fleet.peerLogs("host_changed", "host", "i-1", recoveryBound));
    CHECK(test.fleet.balancerLogs("host_changed", "host", "i-9", recoveryBound));
}

// Guards against CONFIG: the store has come back from a copy with an older configuration, and a balancer that starts
// uses it, although its peers have a newer one in force.
TEST_CASE("a balancer that starts takes a newer configuration than the store's from its peers [CONFIG]")
{
    GappedPeer test;
    test.store.setDown(false);
    test.store.write("op/config", SmallFleet::configuration(9, 2, R"("service":"job")"));
    CHECK(test.fleet.peerLogs("configuration_in_force", "configuration", 9));
    test.store.setDown(true);
    test.fleet.store.restoreCopy(); // a later era, so that the peer has no newer state
    test.fleet.store.write("op/config", SmallFleet::configuration(3, 1, R"("service":"job")"));
    test.fleet.store.write("servers/i-1", test.fleet.hostValue("ready", 0));
    test.fleet.startBalancer();
    CHECK(test.fleet.balancerLogs("configuration_in_force", "configuration", 9, recoveryBound));
    test.fleet.checkServed(2);
}

// Guards against calls without a bound while two balancers read different stores, so that no listing ends the
// difference.
TEST_CASE("a difference that remains is resolved at a bounded rate of calls [cost]")
{
    GappedPeer test;
    test.store.setDown(false);
    test.fleet.startBalancer();
    test.fleet.balancerLogs("state_difference", "step", "list store", recoveryBound);
    const std::size_t before = test.fleet.store.calls() + test.store.calls();
    usleep(5000000);
    CHECK(test.fleet.store.calls() + test.store.calls() - before <= 2 * maximumCallsPerSecond * 5);
    CHECK(test.fleet.balancer->events("state_difference").size() + test.fleet.peer->events("state_difference").size()
        <= 10);
}

// Guards against a balancer that refuses everything that the store says until its revisions have passed a false one,
// and that meanwhile calls it without a pause.
TEST_CASE("a balancer recovers from a false revision, with few calls to the store [DRAIN]")
{
    SmallFleet fleet;
    fleet.store.keepCopy();
    for (int change = 0; change < 8; ++change) {
        fleet.store.write("servers/i-1", fleet.hostValue("ready", 100 * change));
    }
    CHECK(fleet.balancerLogs("host_changed", "revision", 10));
    // The store goes back without saying so, which makes the balancer's revision false.
    fleet.store.restoreCopy(false);
    const std::size_t before = fleet.store.calls();
    fleet.store.write("servers/i-1", fleet.hostValue("draining", 0));
    CHECK(fleet.balancerLogs("host_changed", "state", "draining"));
    CHECK(isReset(fleet.answerToFirstPacket(fleet.service)));
    CHECK(SmallFleet::receive(fleet.hostSocket, milliseconds(100)).empty());
    usleep(3000000);
    CHECK(fleet.store.calls() - before <= maximumCallsPerSecond * 3);
}

// Guards against a listing that follows each failed watch at once.
TEST_CASE("a store that has no history is called at a bounded rate [cost]")
{
    SmallFleet fleet;
    fleet.store.setForgettingHistory(true);
    const std::size_t before = fleet.store.calls();
    usleep(5000000);
    CHECK(fleet.store.calls() - before <= maximumCallsPerSecond * 5);
    // Changes are followed by listings in the meantime.
    fleet.writeConfiguration(7, 2, R"("service":"job")");
    CHECK(fleet.balancerLogs("configuration_in_force", "configuration", 7));
    fleet.store.setForgettingHistory(false);
    fleet.checkServed(2);
}

// Guards against a fleet whose readers are all partitioned from the store, and whose other balancers begin to read it
// only after changes must have been in force.
TEST_CASE("the first reader notices a partition from the store before changes must be in force [DRAIN, CONFIG]")
{
    SmallFleet fleet;
    fleet.store.write("servers/i-1", fleet.hostValue("ready", 100));
    CHECK(fleet.balancerLogs("host_changed", "revision", 3));
    usleep(200000); // the next watch has begun
    fleet.store.setHoldingWatches(true);
    CHECK_NOTHROW(fleet.balancer->waitForEvent("store_lost", seconds(3)));
    fleet.store.setHoldingWatches(false);
}

TEST_CASE("a weighted route is served, and a service without a host leaves its share to the others [CONFIG]")
{
    SmallFleet fleet;
    fleet.writeConfiguration(
        4, 3, R"("weighted-backends":[{"service":"job","weight":50},{"service":"drawing","weight":50}])");
    CHECK(fleet.balancerLogs("configuration_in_force", "configuration", 4));
    constexpr int flows = 20;
    for (int flow = 0; flow < flows; ++flow) {
        fleet.checkServed(3);
    }
    CHECK(fleet.balancerLogs("service_skipped", "selected", "drawing"));
}

TEST_CASE("an evacuated zone gets no new flow until the request is taken back [EVAC]")
{
    SmallFleet fleet;
    fleet.store.write("op/evacuate/a", "{}");
    CHECK(fleet.balancerLogs("zones_evacuated", "zones", "a"));
    CHECK(fleet.agent->waitForEvent("evacuated").value("zone", "") == "a");
    CHECK(isReset(fleet.answerToFirstPacket(fleet.service)));
    CHECK(SmallFleet::receive(fleet.hostSocket, milliseconds(100)).empty());
    // A balancer that starts during the evacuation places no flow before it has read the request.
    fleet.startBalancer();
    CHECK(isReset(fleet.answerToFirstPacket(fleet.service)));
    CHECK(SmallFleet::receive(fleet.hostSocket, milliseconds(100)).empty());
    fleet.store.remove("op/evacuate/a");
    CHECK(fleet.balancerLogs("zones_evacuated", "zones", ""));
    fleet.agent->waitForEvent("evacuation_ended");
    usleep(300000); // the agent's report says that it takes flows again
    fleet.checkServed(1);
}

// Guards against an agent that refuses new flows until something else changes in the store: the end of the retention
// comes without a new version of the store.
TEST_CASE("an evacuation that the copy has forgotten ends at the agent, too [LOST]")
{
    SmallFleet fleet;
    fleet.store.keepCopy();
    fleet.store.write("op/evacuate/a", "{}");
    fleet.agent->waitForEvent("evacuated");
    fleet.store.restoreCopy();
    CHECK(fleet.balancerLogs("store_era", "era", 1));
    CHECK_NOTHROW(fleet.agent->waitForEvent("evacuation_ended", seconds(5)));
    usleep(300000); // the agent's report says that it takes flows again
    fleet.checkServed(1);
}

TEST_CASE("a store that comes back from an older copy is followed, and the configuration stays [CONFIG, DRAIN]")
{
    SmallFleet fleet;
    fleet.store.keepCopy();
    fleet.writeConfiguration(4, 2, R"("service":"job")");
    CHECK(fleet.balancerLogs("configuration_in_force", "configuration", 4));
    fleet.store.restoreCopy();
    CHECK(fleet.balancerLogs("store_era", "era", 1));
    fleet.checkServed(2);
    // The revision is given out again.
    fleet.writeConfiguration(5, 3, R"("service":"job")");
    CHECK(fleet.balancerLogs("configuration_in_force", "configuration", 5));
    fleet.checkServed(3);
    fleet.store.restoreCopy();
    CHECK(fleet.balancerLogs("store_era", "era", 2));
    fleet.store.write("servers/i-1", fleet.hostValue("draining", 0));
    CHECK(fleet.balancerLogs("host_changed", "state", "draining"));
    CHECK(isReset(fleet.answerToFirstPacket({ parseAddress("198.18.0.3"), 443 })));
}
