#pragma once

#include "coordination/FlowPlacement.h"
#include "coordination/FlowSteering.h"
#include "coordination/HostAdmission.h"
#include "state/HostDirectory.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace chicoryferry {

// Discrete-event simulation of callers, balancers, agents and backend servers that runs the production decision classes
// in virtual time. The default options model the deployment msasani-cut: 7 hosts with 2 slots, 13 ms mean work, and
// 3 in 100 requests seven times as long.
class FleetSimulation {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Duration = std::chrono::microseconds;

    struct Options {
        std::uint64_t seed { 1 };
        std::size_t balancers { 6 };
        std::size_t hosts { 7 };
        std::uint32_t slots { 2 };
        Duration meanWork { 13000 };
        double longShare { 0.03 };
        double longFactor { 7 };
        Duration toCaller { 1000 }; // one way
        Duration toPeer { 400 }; // one way
        Duration targetLatency { 100000 };
        Duration budget { 1000000 };
        int tries { 3 };
        double coldSlowdown { 1 }; // factor on the work of backend servers that have lost all state
        Duration coldFor { 0 }; // duration of the slowdown after they return
        Duration agentAge { std::chrono::hours(1) }; // time since the agents started, at the start of the simulation
        double lossShare { 0 }; // of the datagrams on each part of a path
        double slowAnswerShare { 0 }; // of the first packets that a backend server answers after slowAnswer
        Duration slowAnswer { 0 };
    };

    // The deployment arriaga-bordado: 3 slots, longer work, longer network delays, and backend servers that start cold.
    static Options arriagaDeployment(std::uint64_t seed);

    // The result of one request, over all its tries.
    struct Outcome {
        TimePoint start;
        TimePoint end;
        bool served { false };
        bool refused { false }; // the last try was reset
        std::uint64_t runs { 0 };
        Duration work { 0 }; // of the last run
    };

    explicit FleetSimulation(const Options&);
    ~FleetSimulation();

    // Generates Poisson arrivals at the given rate per second from `from` to `to`, both relative to the start.
    void load(double perSecond, Duration from, Duration to);

    // Schedules the function at a time relative to the start.
    void at(Duration, std::function<void()>);

    // The balancer loses its state and receives no packets; the other balancers receive its packets.
    void loseBalancer(std::size_t);
    void restoreBalancer(std::size_t);

    // Moves all flows to other balancers.
    void rotateRouters() { ++this->rotation; }

    // Queues packets for the balancer until it resumes; then it processes them all at once.
    void freezeBalancer(std::size_t);
    void resumeBalancer(std::size_t);

    // The agent and its backend server no longer receive or answer anything.
    void silenceHost(std::size_t);

    // The backend server no longer answers, while its agent keeps running.
    void crashBackendServer(std::size_t);

    // All processes and backend servers lose their state and answer nothing until `back`, relative to the start.
    void failAll(Duration back);

    void run(Duration length);

    const std::vector<Outcome>& outcomes() const { return this->results; }

    std::chrono::nanoseconds sinceStart(TimePoint when) const { return when - this->start; }

    // The share of the requests that arrived in the interval and were served within the target latency.
    double shareInTime(Duration from, Duration to) const;
    // The share of the requests that ran whose work and network delay, without any wait, fit within the target latency.
    double shareThatFits() const;
    // The share of the requests that arrived in the interval and were served within the budget.
    double shareServed(Duration from, Duration to) const;

    // Mean value of the requests that arrived in the interval: 1 if served within the target latency, lateValue if
    // served later, 0 if not served.
    double meanRequestValue(Duration from, Duration to, double lateValue) const;

    // Mean latency of served requests minus their own work and the network delay.
    Duration meanDelay() const;

    // Requests per second that the slots can serve.
    double capacity() const;

    // Number of resets that callers received on an open flow.
    std::uint64_t openFlowResets() const { return this->openResets; }

    // Number of open flows of which, for misroutingTime, at least misroutedPackets packets reached other backend
    // servers and none their own.
    std::uint64_t misroutedFlows() const { return this->misrouted; }

    // The bound of the users' rule for the packets of an open flow.
    static constexpr std::chrono::milliseconds misroutingTime { 2000 };
    static constexpr int misroutedPackets = 3;

private:
    struct Caller;
    struct Host;
    struct HostFlow;
    struct Balancer;
    struct Event;

    void schedule(TimePoint, std::function<void()>);
    void startRequest();
    void startTry(std::size_t request);
    void endTry(Caller&);
    void sendToBalancer(const FlowPacket&);
    void processAtBalancer(std::size_t balancer, const FlowPacket&);
    void applyBalancerActions(std::size_t balancer);
    void applyAgentActions(std::size_t host);
    void sendQuery(std::size_t host, const Endpoint& balancer, const FlowQuery&);
    void deliverToHost(std::size_t host, const FlowPacket&);
    void acceptFirstPacket(std::size_t host, const FlowKey&);
    void answerFirstPacket(std::size_t host, const FlowKey&, int transmission);
    void sendRequest(const FlowPacket&, int transmission);
    void recordDelivery(std::size_t host, const FlowKey&);
    bool isLost();
    void sendAnswer(std::size_t host, const FlowKey&);
    void startQueuedRuns(std::size_t host);
    void sendFromHost(std::size_t host, const FlowPacket&);
    void receiveAtCaller(const FlowPacket&);
    void report(std::size_t host);
    void tick();
    void resetHost(std::size_t);
    void resetBalancer(std::size_t);
    std::span<const std::uint8_t> store(const FlowPacket&);
    const FlowPacket& stored(std::span<const std::uint8_t>) const;
    Duration drawWork();
    Duration networkDelay() const;
    bool isDown() const { return this->now < this->downUntil; }

    Options options;
    std::mt19937_64 random;
    TimePoint start;
    TimePoint now;
    TimePoint downUntil;
    std::priority_queue<Event> events;
    std::uint64_t eventCount { 0 };
    std::vector<Outcome> results;
    std::vector<int> endedTries; // of each request
    std::map<FlowKey, Caller> callers;
    std::vector<Host> hosts;
    std::vector<Balancer> balancers;
    std::deque<FlowPacket> packets;
    std::deque<std::array<std::uint8_t, 8>> datagrams;
    std::uint32_t nextPort { 0 };
    std::uint64_t openResets { 0 };
    std::uint64_t misrouted { 0 };
    std::size_t rotation { 0 };
    // Incremented by failAll(); peer messages and runs of earlier epochs are discarded.
    std::uint64_t epoch { 0 };
};

}
