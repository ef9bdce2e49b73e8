#pragma once

#include "CallHistory.h"
#include "CallerSession.h"
#include "Cluster.h"

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <thread>
#include <vector>

namespace chicoryferry::integration {

// Callers that go on asking on threads of their own until they are stopped. Requests differ in their targets by
// number; the choices come from the seed.
class Traffic {
public:
    // References must outlive this object. timeout: of each call.
    Traffic(Cluster&, CallHistory&, std::chrono::milliseconds timeout = std::chrono::seconds(30));
    ~Traffic();
    Traffic(const Traffic&) = delete;
    Traffic& operator=(const Traffic&) = delete;

    // Benches: each thread holds the connections given and asks on them in turn, with a pause between requests.
    // writeShare: share of requests that are keyed corrections.
    void addBenches(unsigned threads, unsigned connectionsEach, std::chrono::milliseconds pause, double writeShare,
        const std::string& runTime = "5ms");

    // Printers: each thread downloads drawings of this size at this pace (bytes a second; 0: as fast as possible).
    void addPrinters(unsigned threads, std::uint64_t bytes, std::uint64_t bytesPerSecond);

    // Writers: each thread sends keyed corrections, each over a connection of its own, and repeats a key up to four
    // times from other caller addresses: always once, and again until an answer tells that it ran.
    void addWriters(unsigned threads, std::chrono::milliseconds pause, const std::string& runTime);

    // Waits until every connection of the benches has carried a further request from its start to its end.
    // Returns false when that has not happened at the timeout.
    bool waitForFurtherRequests(std::chrono::milliseconds timeout) const;

    // Waits until every connection of the benches has been opened and has carried a request.
    void waitUntilOpen(std::chrono::milliseconds timeout) const;

    // Ends each caller after its present call and waits for the threads.
    void stop();

    // Connections lost without being closed by an orderly answer.
    std::uint64_t brokenFlows() const { return this->broken; }

    // Connections that have carried their first request.
    std::uint64_t openedFlows() const { return this->opened; }

private:
    struct BenchProgress {
        unsigned connections { 0 };
        std::atomic<std::uint64_t> requests { 0 };
    };

    void runBench(unsigned thread, BenchProgress&, std::chrono::milliseconds pause, double writeShare,
        const std::string& runTime);
    void runWriter(unsigned thread, std::chrono::milliseconds pause, const std::string& runTime);
    void runPrinter(unsigned thread, std::uint64_t bytes, std::uint64_t bytesPerSecond);
    void count(CallerSession&, std::uint64_t& countedBroken, bool& countedOpen);

    Cluster& cluster;
    CallHistory& history;
    std::chrono::milliseconds timeout;
    std::atomic<bool> stopping { false };
    std::atomic<std::uint64_t> broken { 0 };
    std::atomic<std::uint64_t> opened { 0 };
    std::uint64_t benchConnections { 0 };
    std::deque<BenchProgress> benches;
    unsigned nextThread { 0 };
    std::vector<std::thread> threads;
};

}
