#include "Traffic.h"

#include <algorithm>
#include <fmt/format.h>
#include <random>
#include <stdexcept>

namespace chicoryferry::integration {

namespace {

constexpr std::chrono::milliseconds pollInterval { 20 };

// Number of distinct caller addresses per caller group. Each address has its own client entry per service.
constexpr unsigned callerAddresses = 8;

constexpr unsigned attemptsPerKey = 4;

std::string benchAddress(unsigned number) { return fmt::format("10.9.1.{}", 1 + number % callerAddresses); }

}

Traffic::Traffic(Cluster& clusterToUse, CallHistory& historyToUse, std::chrono::milliseconds callTimeout)
    : cluster(clusterToUse)
    , history(historyToUse)
    , timeout(callTimeout)
{
}

Traffic::~Traffic() { this->stop(); }

void Traffic::addBenches(unsigned threadCount, unsigned connectionsEach, std::chrono::milliseconds pause,
    double writeShare, const std::string& runTime)
{
    this->benchConnections += static_cast<std::uint64_t>(threadCount) * connectionsEach;
    for (unsigned index = 0; index < threadCount; ++index) {
        const unsigned number = this->nextThread++;
        BenchProgress& progress = this->benches.emplace_back();
        progress.connections = connectionsEach;
        this->threads.emplace_back([this, number, &progress, pause, writeShare, runTime] {
            this->runBench(number, progress, pause, writeShare, runTime);
        });
    }
}

void Traffic::addWriters(unsigned threadCount, std::chrono::milliseconds pause, const std::string& runTime)
{
    for (unsigned index = 0; index < threadCount; ++index) {
        this->threads.emplace_back(
            [this, number = this->nextThread++, pause, runTime] { this->runWriter(number, pause, runTime); });
    }
}

void Traffic::addPrinters(unsigned threadCount, std::uint64_t bytes, std::uint64_t bytesPerSecond)
{
    for (unsigned index = 0; index < threadCount; ++index) {
        const unsigned number = this->nextThread++;
        this->threads.emplace_back(
            [this, number, bytes, bytesPerSecond] { this->runPrinter(number, bytes, bytesPerSecond); });
    }
}

void Traffic::runBench(unsigned thread, BenchProgress& progress, std::chrono::milliseconds pause, double writeShare,
    const std::string& runTime)
{
    const unsigned connections = std::max(progress.connections, 1U);
    const std::string caller = benchAddress(thread);
    const Endpoint entry = this->cluster.entry(caller, "job");
    std::vector<std::unique_ptr<CallerSession>> sessions;
    for (unsigned index = 0; index < connections; ++index) {
        sessions.push_back(std::make_unique<CallerSession>(this->history, caller, "job", entry));
    }
    std::vector<std::uint64_t> countedBroken(connections, 0);
    std::vector<char> countedOpen(connections, 0);
    std::mt19937_64 random(this->cluster.clusterPlan().seed * 1000 + thread);
    std::uniform_real_distribution<double> share(0, 1);
    for (std::uint64_t number = 0; !this->stopping; ++number) {
        const std::size_t index = number % connections;
        CallerSession& session = *sessions[index];
        const std::string requestName = fmt::format("{}-{}", thread, number);
        if (share(random) < writeShare) {
            session.post(fmt::format("/corrections?run={}&id={}", runTime, requestName), "correction " + requestName,
                fmt::format("key-{}-{}", this->cluster.clusterPlan().seed, requestName), this->timeout);
        } else {
            session.get(fmt::format("/layout/{}?run={}&size=3000", requestName, runTime), this->timeout);
        }
        bool open = countedOpen[index] != 0;
        this->updateFlowCounts(session, countedBroken[index], open);
        countedOpen[index] = open ? 1 : 0;
        ++progress.requests;
        std::this_thread::sleep_for(pause);
    }
}

void Traffic::runWriter(unsigned thread, std::chrono::milliseconds pause, const std::string& runTime)
{
    for (std::uint64_t number = 0; !this->stopping; ++number) {
        const std::string requestName = fmt::format("{}-{}", thread, number);
        const std::string key = fmt::format("writer-{}-{}", this->cluster.clusterPlan().seed, requestName);
        bool ran = false;
        for (unsigned attempt = 0; attempt < attemptsPerKey && (attempt < 2 || !ran); ++attempt) {
            const std::string caller = benchAddress(thread + attempt);
            CallerSession session(this->history, caller, "job", this->cluster.entry(caller, "job"));
            const HttpAnswer answer = session.post(fmt::format("/corrections?run={}&id={}", runTime, requestName),
                "correction " + requestName, key, this->timeout);
            ran = ran || (answer.complete && answer.status == 200);
            std::this_thread::sleep_for(pause);
        }
    }
}

void Traffic::runPrinter(unsigned thread, std::uint64_t bytes, std::uint64_t bytesPerSecond)
{
    const std::string caller = fmt::format("10.9.2.{}", 1 + thread % callerAddresses);
    CallerSession session(this->history, caller, "drawing", this->cluster.entry(caller, "drawing"));
    std::uint64_t countedBroken = 0;
    bool countedOpen = false;
    for (std::uint64_t number = 0; !this->stopping; ++number) {
        session.get(fmt::format("/drawings/{}-{}?run=20ms&size={}&pace={}", thread, number, bytes, bytesPerSecond),
            this->timeout);
        this->updateFlowCounts(session, countedBroken, countedOpen);
    }
}

void Traffic::updateFlowCounts(CallerSession& session, std::uint64_t& countedBroken, bool& countedOpen)
{
    this->broken += session.brokenFlows() - countedBroken;
    countedBroken = session.brokenFlows();
    if (!countedOpen) {
        countedOpen = true;
        ++this->opened;
    }
}

void Traffic::waitUntilOpen(std::chrono::milliseconds limit) const
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (this->opened < this->benchConnections) {
        if (std::chrono::steady_clock::now() > end) {
            throw std::runtime_error(fmt::format(
                "only {} of {} connections opened within the timeout", this->opened.load(), this->benchConnections));
        }
        std::this_thread::sleep_for(pollInterval);
    }
}

bool Traffic::waitForFurtherRequests(std::chrono::milliseconds limit) const
{
    const auto end = std::chrono::steady_clock::now() + limit;
    std::vector<std::uint64_t> wanted;
    for (const BenchProgress& bench : this->benches) {
        // One more than a full round, because a request may be in flight now.
        wanted.push_back(bench.requests + bench.connections + 1);
    }
    std::size_t index = 0;
    for (const BenchProgress& bench : this->benches) {
        while (bench.requests < wanted[index]) {
            if (std::chrono::steady_clock::now() > end) {
                return false;
            }
            std::this_thread::sleep_for(pollInterval);
        }
        ++index;
    }
    return true;
}

void Traffic::stop()
{
    this->stopping = true;
    for (std::thread& thread : this->threads) {
        thread.join();
    }
    this->threads.clear();
}

}
