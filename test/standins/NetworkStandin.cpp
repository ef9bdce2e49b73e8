#include "NetworkStandin.h"

#include "ClientEntry.h"
#include "ClientStack.h"
#include "ControlServer.h"
#include "FabricFaults.h"
#include "Sockets.h"
#include "StandinLoop.h"
#include "StandinOptions.h"

#include <array>
#include <sys/epoll.h>
#include <sys/socket.h>

namespace chicoryferry::standins {

namespace {

constexpr std::chrono::milliseconds maximumWait { 250 };
constexpr int packetsPerRound = 512;

// Sends each packet of a caller to a random balancer and delivers packets of agents to the client stack.
class Fabric {
public:
    Fabric(StandinLoop& loopToUse, const Endpoint& listen)
        : loop(loopToUse)
        , descriptor(openUdpSocket(listen))
        , stack([this](std::string_view packet) { this->packetFromCaller(packet); })
        , entry(loopToUse, this->stack)
    {
        this->loop.events().add(this->descriptor, EPOLLIN, [this](std::uint32_t) { this->receiveWaiting(); });
    }

    Endpoint address() const { return boundAddress(this->descriptor); }

    ControlServer::Handlers controlHandlers()
    {
        return {
            { "PUT /control/balancers", [this](const nlohmann::json& body) { return this->setBalancers(body); } },
            { "PUT /control/entries", [this](const nlohmann::json& body) { return this->entry.configure(body); } },
            { "PUT /control/faults", [this](const nlohmann::json& body) { return this->setFaults(body); } },
            { "GET /control/counts", [this](const nlohmann::json&) { return this->counts(); } },
        };
    }

    void run()
    {
        while (!this->loop.stopped()) {
            this->loop.runOnce(this->stack.untilNextTimer(maximumWait));
            this->stack.runTimers();
        }
    }

private:
    nlohmann::json setBalancers(const nlohmann::json& body)
    {
        std::vector<Endpoint> listed;
        for (const std::string& text : body.at("balancers").get<std::vector<std::string>>()) {
            listed.push_back(parseEndpoint(text));
        }
        this->balancers = std::move(listed);
        return nlohmann::json::object();
    }

    nlohmann::json setFaults(const nlohmann::json& body)
    {
        this->faults.configure(body);
        return this->faults.counts();
    }

    nlohmann::json counts() const
    {
        nlohmann::json packetsToBalancers = nlohmann::json::object();
        for (const auto& [endpoint, count] : this->packetsPerBalancer) {
            packetsToBalancers[formatEndpoint(endpoint)] = count;
        }
        return { { "connections", this->entry.counts() }, { "faults", this->faults.counts() },
            { "packetsToBalancers", packetsToBalancers }, { "packetsToCallers", this->packetsToCallers },
            { "packetsWithoutCaller", this->packetsWithoutCaller } };
    }

    void deliver(std::string_view packet, PacketDirection direction)
    {
        for (const FabricFaults::Duration delay : this->faults.decide(packet, direction)) {
            if (delay.count() == 0) {
                this->forward(packet, direction);
                continue;
            }
            this->loop.schedule(std::chrono::steady_clock::now() + delay,
                [this, direction, copy = std::string(packet)] { this->forward(copy, direction); });
        }
    }

    void forward(std::string_view packet, PacketDirection direction)
    {
        if (direction == PacketDirection::ToCaller) {
            ++this->packetsToCallers;
            this->stack.receive(packet);
            return;
        }
        if (this->balancers.empty()) {
            return;
        }
        const Endpoint& balancer = this->balancers[this->faults.choose(this->balancers.size())];
        ++this->packetsPerBalancer[balancer];
        const sockaddr_in address = toSocketAddress(balancer);
        sendto(this->descriptor, packet.data(), packet.size(), 0, reinterpret_cast<const sockaddr*>(&address),
            sizeof address);
    }

    void packetFromCaller(std::string_view packet) { this->deliver(packet, PacketDirection::ToBalancer); }

    void receiveWaiting()
    {
        std::array<char, 65536> buffer {};
        for (int round = 0; round < packetsPerRound; ++round) {
            const ssize_t count = recv(this->descriptor, buffer.data(), buffer.size(), 0);
            if (count < 0) {
                return;
            }
            const std::string_view packet(buffer.data(), static_cast<std::size_t>(count));
            const std::optional<FlowKey> flow = flowOf(packet, PacketDirection::ToCaller);
            if (!flow || !this->stack.hasCaller(flow->caller.address)) {
                ++this->packetsWithoutCaller;
                continue;
            }
            this->deliver(packet, PacketDirection::ToCaller);
        }
    }

    StandinLoop& loop;
    int descriptor;
    ClientStack stack;
    ClientEntry entry;
    FabricFaults faults;
    std::vector<Endpoint> balancers;
    std::map<Endpoint, std::uint64_t> packetsPerBalancer;
    std::uint64_t packetsToCallers { 0 };
    std::uint64_t packetsWithoutCaller { 0 };
};

}

int runNetworkStandin(const std::vector<std::string>& arguments)
{
    const StandinOptions options(arguments, { "--listen", "--data-address" });
    StandinLoop loop;
    loop.watchStopSignals();
    Fabric fabric(loop, options.listenAddress("--data-address"));
    const ControlServer control(loop, options.listenAddress("--listen"), fabric.controlHandlers());
    printEvent({ { "event", "listening" }, { "address", formatEndpoint(control.address()) },
        { "data", formatEndpoint(fabric.address()) } });
    fabric.run();
    return 0;
}

}
