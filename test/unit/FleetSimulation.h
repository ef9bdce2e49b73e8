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

// Plays callers, balancers, agents and backend servers in virtual time with the decision classes of the product. By
// default the deployment of msasani-cut: 7 hosts with 2 slots, 13 ms mean work, 3 in 100 requests seven times as long.
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
        double coldSlowdown { 1 }; // factor on the work of backend servers that have lost everything
        Duration coldFor { 0 }; // from their return on
    };

    // The deployment of arriaga-bordado: 3 slots, longer work, longer ways, and backend servers that start cold.
    static Options arriaga(std::uint64_t seed);

    // What one caller got for one request.
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

    // Requests arrive at this rate a second from `from` to `to`, both since the start.
    void load(double perSecond, Duration from, Duration to);

    // Calls the function at a time since the start.
    void at(Duration, std::function<void()>);

    // A balancer stops taking packets; what it knew is gone, and others take its packets.
    void loseBalancer(std::size_t);
    void restoreBalancer(std::size_t);

    // Packets to the balancer wait from now on, and are taken all at once when it resumes.
    void freezeBalancer(std::size_t);
    void resumeBalancer(std::size_t);

    // The agent and its backend server take nothing and answer nothing any more.
    void silenceHost(std::size_t);

    // The backend server answers nothing any more, while its agent goes on.
    void crashBackendServer(std::size_t);

    // All processes and backend servers lose everything and answer nothing until `back`, since the start.
    void loseEverything(Duration back);

    void run(Duration length);

    const std::vector<Outcome>& outcomes() const { return this->results; }

    std::chrono::nanoseconds sinceStart(TimePoint when) const { return when - this->start; }

    // The share of the requests that arrived in the span and were served within the target latency, or at all.
    double shareInTime(Duration from, Duration to) const;
    // Of the requests that ran: the share whose own work leaves them in time without any wait.
    double shareThatFits() const;
    double shareServed(Duration from, Duration to) const;

    // Worth earned of the requests that arrived in the span: 1 in time, lateWorth when later.
    double worth(Duration from, Duration to, double lateWorth) const;

    // Mean time of served requests beyond their own work and the ways.
    Duration meanDelay() const;

    // Requests that the slots can serve in a second.
    double capacity() const;

    // Resets that were sent to callers whose flow was open.
    std::uint64_t openFlowResets() const { return this->openResets; }

private:
    struct Caller;
    struct Host;
    struct Balancer;
    struct Event;

    void schedule(TimePoint, std::function<void()>);
    void startRequest();
    void startTry(std::size_t request);
    void endTry(Caller&);
    void sendToBalancer(const FlowPacket&);
    void takeAtBalancer(std::size_t balancer, const FlowPacket&);
    void performBalancer(std::size_t balancer);
    void performAgent(std::size_t host);
    void deliverToHost(std::size_t host, const FlowPacket&);
    void beginWork(std::size_t host);
    void sendFromHost(std::size_t host, const FlowPacket&);
    void takeAtCaller(const FlowPacket&);
    void report(std::size_t host);
    void tick();
    void resetHost(std::size_t);
    void resetBalancer(std::size_t);
    std::span<const std::uint8_t> store(const FlowPacket&);
    const FlowPacket& stored(std::span<const std::uint8_t>) const;
    Duration drawWork();
    Duration ways() const;
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
    std::uint64_t epoch { 0 }; // rises when everything is lost
};

}
