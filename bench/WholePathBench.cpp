// Compares the whole path, with real processes on loopback, with a direct connection to the backend server: added
// latency, throughput through one agent, and the resident memory of an agent by number of connections.

#include "Cluster.h"
#include "HttpConnection.h"

#include <algorithm>
#include <chrono>
#include <fmt/format.h>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace chicoryferry;
using namespace chicoryferry::integration;

namespace {

using std::chrono::steady_clock;

constexpr int latencyRequests = 3000;
constexpr std::size_t downloadBytes = 1'000'000'000;
constexpr std::chrono::seconds answerTimeout { 60 };
constexpr unsigned connectionsPerHost = 5000;
// An agent publishes its status a few times a second, so a status read sooner can be out of date.
constexpr std::chrono::milliseconds statusDelay { 500 };
const std::string caller = "10.9.1.1";

struct Latency {
    double p50 { 0 }; // microseconds
    double p99 { 0 };
};

Latency measureLatency(const Endpoint& endpoint)
{
    HttpConnection connection(endpoint);
    std::vector<double> times;
    times.reserve(latencyRequests);
    for (int number = 0; number < latencyRequests; ++number) {
        const auto start = steady_clock::now();
        const HttpAnswer answer
            = connection.request("GET", fmt::format("/layout/{}?run=0ms&size=1000", number), {}, "", answerTimeout);
        if (answer.status != 200 || !answer.complete) {
            throw std::runtime_error(
                fmt::format("request {} was not answered with 200 in full: status {}, failure \"{}\"", number,
                    answer.status, answer.failure));
        }
        times.push_back(std::chrono::duration<double, std::micro>(steady_clock::now() - start).count());
    }
    std::sort(times.begin(), times.end());
    return { times[times.size() / 2], times[times.size() * 99 / 100] };
}

double measureMegabytesPerSecond(const Endpoint& endpoint)
{
    HttpConnection connection(endpoint);
    const auto start = steady_clock::now();
    const HttpAnswer answer
        = connection.request("GET", fmt::format("/layout/big?run=0ms&size={}", downloadBytes), {}, "", answerTimeout);
    const std::chrono::duration<double> elapsed = steady_clock::now() - start;
    return answer.complete ? static_cast<double>(answer.body.size()) / 1e6 / elapsed.count() : 0;
}

// Reads a memory field in KB from /proc/PID/status: VmRSS is the resident set size, VmHWM its peak.
long memoryKilobytes(pid_t process, const std::string& field)
{
    std::ifstream status(fmt::format("/proc/{}/status", process));
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with(field + ":")) {
            return std::stol(line.substr(field.size() + 1));
        }
    }
    return 0;
}

void printMemory(Cluster& cluster)
{
    fmt::print("{:>12} {:>12} {:>12} {:>10}\n", "connections", "flows held", "agent KB", "open s");
    std::vector<std::unique_ptr<HttpConnection>> connections;
    const Endpoint entry = cluster.entry(caller, "job");
    const ClusterHost& host = cluster.host("job-1");
    for (const std::size_t connectionCount : { 0U, 500U, 1000U, 2000U, 4000U }) {
        const auto start = steady_clock::now();
        while (connections.size() < connectionCount) {
            connections.push_back(std::make_unique<HttpConnection>(entry));
            connections.back()->request(
                "GET", fmt::format("/layout/{}?run=0ms&size=100", connections.size()), {}, "", answerTimeout);
        }
        const std::chrono::duration<double> elapsed = steady_clock::now() - start;
        std::this_thread::sleep_for(statusDelay);
        const auto flows = Cluster::status(host.adminAddress).at("flows").get<std::uint64_t>();
        fmt::print("{:>12} {:>12} {:>12} {:>10.2f}\n", connectionCount, flows,
            memoryKilobytes(host.agent->identifier(), "VmRSS"), elapsed.count());
    }
}

}

int main()
{
    ClusterPlan plan;
    plan.seed = 1;
    plan.balancerZones = { "dar-1" };
    plan.hosts = { { "job-1", "job", "dar-1", 2, connectionsPerHost }, { "drawing-1", "drawing", "dar-1" } };
    Cluster cluster(plan);
    const Endpoint direct = cluster.host("job-1").backendAddress;
    const Endpoint path = cluster.entry(caller, "job");

    fmt::print("{:>10} {:>10} {:>10} {:>10}\n", "", "p50 us", "p99 us", "MB/s");
    const Latency directLatency = measureLatency(direct);
    const Latency pathLatency = measureLatency(path);
    const double directRate = measureMegabytesPerSecond(direct);
    const double pathRate = measureMegabytesPerSecond(path);
    fmt::print("{:>10} {:>10.0f} {:>10.0f} {:>10.0f}\n", "direct", directLatency.p50, directLatency.p99, directRate);
    fmt::print("{:>10} {:>10.0f} {:>10.0f} {:>10.0f}\n", "whole path", pathLatency.p50, pathLatency.p99, pathRate);
    fmt::print("{:>10} {:>10.0f} {:>10.0f} {:>10.2f}\n\n", "added", pathLatency.p50 - directLatency.p50,
        pathLatency.p99 - directLatency.p99, pathRate / directRate);
    fmt::print("highest resident memory of the agent after a download of {} MB: {} KB\n\n", downloadBytes / 1'000'000,
        memoryKilobytes(cluster.host("job-1").agent->identifier(), "VmHWM"));
    printMemory(cluster);
    return 0;
}
