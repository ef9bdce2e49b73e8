// Compares the throughput of the balancer's data path with that of a relay that only copies datagrams, in one run on
// loopback, and prints the CPU time per packet by number of services.

#include "app/PacketForwarder.h"
#include "protocol/Configuration.h"
#include "state/ConfigurationView.h"
#include "support/Metrics.h"
#include "transport/UdpSocket.h"

#include <array>
#include <atomic>
#include <chrono>
#include <ctime>
#include <fmt/format.h>
#include <poll.h>
#include <string>
#include <thread>
#include <vector>

using namespace chicoryferry;

namespace {

constexpr std::size_t packetBytes = 200;
constexpr unsigned hostsPerService = 7;
constexpr std::chrono::seconds runTime { 2 };
constexpr int rounds = 5;
const Endpoint loopbackAnyPort { 0x7f000001, 0 };

std::vector<std::uint8_t> makePacket(std::uint32_t flow, std::uint32_t service)
{
    std::vector<std::uint8_t> packet(packetBytes);
    const auto put32 = [&](std::size_t offset, std::uint32_t value) {
        for (std::size_t byte = 0; byte < 4; ++byte) {
            packet[offset + byte] = static_cast<std::uint8_t>(value >> (24 - 8 * byte));
        }
    };
    packet[0] = 0x45;
    packet[3] = static_cast<std::uint8_t>(packetBytes);
    packet[9] = 6;
    put32(12, 0x0a090000 + flow % 4096);
    put32(16, 0x0a010000 + service);
    put32(20, ((1024 + flow % 60000) << 16U) | 80U);
    packet[32] = 0x50;
    packet[33] = 0x10;
    return packet;
}

std::shared_ptr<const ConfigurationView> makeView(unsigned services, const Endpoint& agent)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = 1;
    configuration->callerGroups.push_back({ "all", { { 0x0a090000, 16 } } });
    for (unsigned number = 0; number < services; ++number) {
        Service service;
        service.name = "service-" + std::to_string(number);
        service.id = serviceId(service.name);
        service.endpoint = { 0x0a010000 + number, 80 };
        configuration->bindings.push_back({ service.name, "all", Selector::parse("service=" + service.name) });
        for (unsigned index = 0; index < hostsPerService; ++index) {
            Host host;
            host.name = service.name + "-" + std::to_string(index);
            host.incarnation = index;
            host.dataAddress = agent;
            host.labels = { { "service", service.name } };
            configuration->hosts.push_back(host);
        }
        configuration->services.push_back(std::move(service));
    }
    return std::make_shared<const ConfigurationView>(
        configuration, std::make_shared<const InstanceList>(), std::vector<std::shared_ptr<const Configuration>> {});
}

// Copies each datagram to one destination. This is the minimum work of a forwarder and thus the baseline.
class Relay {
public:
    Relay(UdpSocket& relaySocket, const Endpoint& target)
        : socket(relaySocket)
        , destination(target)
    {
    }

    std::size_t forwardPending()
    {
        const auto datagrams = this->socket.receive();
        for (const ReceivedDatagram& datagram : datagrams) {
            this->socket.queue(this->destination, 0, datagram.bytes);
        }
        this->socket.flush();
        return datagrams.size();
    }

private:
    UdpSocket& socket;
    Endpoint destination;
};

struct Result {
    double packetsPerSecond { 0 };
    double microsecondsPerPacket { 0 }; // CPU time of the forwarding thread
};

std::chrono::duration<double, std::micro> threadCpuTime()
{
    timespec now {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    return std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
}

// Sends packets from two threads as fast as the kernel accepts them, and counts those that the forwarder receives.
template <typename Forwarder> Result measure(Forwarder& forwarder, UdpSocket& socket, unsigned services)
{
    std::atomic<bool> stop { false };
    const auto sendPackets = [&](std::uint32_t seed) {
        UdpSocket sender(loopbackAnyPort);
        std::vector<std::vector<std::uint8_t>> packets;
        for (std::uint32_t flow = 0; flow < 4096; ++flow) {
            packets.push_back(makePacket(flow * 7919 + seed, flow % services));
        }
        for (std::size_t next = 0; !stop; ++next) {
            sender.queue(socket.address(), 0, packets[next % packets.size()]);
        }
        sender.flush();
    };
    std::thread first(sendPackets, 1);
    std::thread second(sendPackets, 2);
    std::size_t receivedPackets = 0;
    const auto start = std::chrono::steady_clock::now();
    const auto startCpuTime = threadCpuTime();
    while (std::chrono::steady_clock::now() - start < runTime) {
        pollfd waiting { socket.descriptor(), POLLIN, 0 };
        poll(&waiting, 1, 100);
        receivedPackets += forwarder.forwardPending();
    }
    const std::chrono::duration<double> elapsed = std::chrono::steady_clock::now() - start;
    const auto usedCpuTime = threadCpuTime() - startCpuTime;
    stop = true;
    first.join();
    second.join();
    return { static_cast<double>(receivedPackets) / elapsed.count(),
        usedCpuTime.count() / static_cast<double>(receivedPackets) };
}

Result measureRelay(const Endpoint& sink)
{
    UdpSocket socket(loopbackAnyPort);
    Relay relay(socket, sink);
    return measure(relay, socket, 1);
}

Result measureBalancer(const Endpoint& sink, unsigned services)
{
    UdpSocket socket(loopbackAnyPort);
    Metrics metrics;
    PacketForwarder forwarder(socket, metrics);
    forwarder.setView(makeView(services, sink));
    return measure(forwarder, socket, services);
}

}

int main()
{
    // The sink is never read: its receive buffer fills up and the kernel drops the packets, at the same cost to both
    // forwarders.
    const UdpSocket sink(loopbackAnyPort);
    fmt::print("{:>6} {:>14} {:>14} {:>8}   {} hosts a service, {}-byte packets, goal 0.80\n", "round", "relay pkt/s",
        "balancer pkt/s", "ratio", hostsPerService, packetBytes);
    double sum = 0;
    for (int round = 1; round <= rounds; ++round) {
        const Result relay = measureRelay(sink.address());
        const Result balancer = measureBalancer(sink.address(), 1);
        const double ratio = balancer.packetsPerSecond / relay.packetsPerSecond;
        sum += ratio;
        fmt::print(
            "{:>6} {:>14.0f} {:>14.0f} {:>8.2f}\n", round, relay.packetsPerSecond, balancer.packetsPerSecond, ratio);
    }
    fmt::print("mean ratio {:.2f}: {}\n\n", sum / rounds, sum / rounds >= 0.8 ? "met" : "MISSED");
    fmt::print("{:>9} {:>14}\n", "services", "us per packet");
    for (const unsigned services : { 1U, 10U, 100U, 1000U }) {
        fmt::print("{:>9} {:>14.2f}\n", services, measureBalancer(sink.address(), services).microsecondsPerPacket);
    }
    return 0;
}
