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

// Load generator: callers that send requests from their own threads until stop(). Every request has a distinct target;
// random choices derive from the seed of the cluster plan.
class Traffic {
public:
    // The references must outlive this object. timeout: limit for each call.
    Traffic(Cluster&, CallHistory&, std::chrono::milliseconds timeout = std::chrono::seconds(30));
    ~Traffic();
    Traffic(const Traffic&) = delete;
    Traffic& operator=(const Traffic&) = delete;

    // Adds callers of the group "benches": each thread keeps the given number of connections and sends requests on them
    // in turn, with a pause in between. writeShare: fraction of requests that are POSTs with an idempotency key.
    void addBenches(unsigned threads, unsigned connectionsEach, std::chrono::milliseconds pause, double writeShare,
        const std::string& runTime = "5ms");

    // Adds callers of the group "printers": each thread downloads drawings of this size at this rate in bytes per
    // second (0: unlimited).
    void addPrinters(unsigned threads, std::uint64_t bytes, std::uint64_t bytesPerSecond);

    // Adds writers: each thread sends POSTs with an idempotency key, each over a new connection. A key is sent at least
    // twice and at most four times in total, from different caller addresses, until an answer reports that it ran.
    void addWriters(unsigned threads, std::chrono::milliseconds pause, const std::string& runTime);

    // Waits until every connection of the benches has carried another request from start to end.
    // Returns false at the timeout.
    bool waitForFurtherRequests(std::chrono::milliseconds timeout) const;

    // Waits until every connection of the benches has been opened and has carried a request.
    void waitUntilOpen(std::chrono::milliseconds timeout) const;

    // Stops each caller after its current call and joins the threads.
    void stop();

    // Sum of CallerSession::brokenFlows() over benches and printers; writers are not counted.
    std::uint64_t brokenFlows() const { return this->broken; }

    // Sessions of benches and printers that have completed or failed their first request.
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
    void updateFlowCounts(CallerSession&, std::uint64_t& countedBroken, bool& countedOpen);

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
