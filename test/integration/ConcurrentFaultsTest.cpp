// Guarantees P2 to P5 of docs/promises.md (service isolation, answer integrity, correct not-run outcomes, at most one
// run per key) under seeded random pairs of faults. Guards against mechanisms that tolerate each fault alone but fail
// when two occur together. CHICORYFERRY_SEEDS sets the number of seeds (default 5), CHICORYFERRY_FIRST_SEED the first
// one.

#include "CallHistory.h"
#include "Cluster.h"
#include "RequireCleanHistory.h"
#include "Traffic.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>
#include <random>

using namespace chicoryferry::integration;

namespace {

constexpr std::chrono::milliseconds faultTime { 1500 };
constexpr std::chrono::milliseconds faultFreeTime { 500 };
constexpr std::chrono::seconds callTimeout { 6 };

std::uint64_t numberFromEnvironment(const char* variable, std::uint64_t defaultValue)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? defaultValue : std::stoull(text);
}

// A fault that is injected with begin() and removed with end().
struct Fault {
    std::string name;
    std::function<void(Cluster&, const std::string& host)> begin;
    std::function<void(Cluster&, const std::string& host)> end;
};

void doNothing(Cluster&, const std::string&) { }

std::vector<Fault> allFaults()
{
    return {
        { "packet faults",
            [](Cluster& cluster, const std::string&) {
                cluster.setFaults({ { "loss", 0.02 }, { "duplication", 0.05 }, { "reordering", 0.1 } });
            },
            [](Cluster& cluster, const std::string&) { cluster.setFaults(nlohmann::json::object()); } },
        { "messages to one host dropped",
            [](Cluster& cluster, const std::string& host) {
                cluster.setProxyRules({ { { "to", host }, { "drop", 1.0 } } });
            },
            [](Cluster& cluster, const std::string&) { cluster.setProxyRules(nlohmann::json::array()); } },
        { "agent paused", [](Cluster& cluster, const std::string& host) { cluster.pause(*cluster.host(host).agent); },
            [](Cluster& cluster, const std::string& host) { cluster.resume(*cluster.host(host).agent); } },
        { "agent killed and replaced",
            [](Cluster& cluster, const std::string& host) { cluster.host(host).agent->send(SIGKILL); },
            [](Cluster& cluster, const std::string& host) {
                cluster.addHost(HostPlan(cluster.host(host).plan));
                cluster.publish();
            } },
        { "host draining",
            [](Cluster& cluster, const std::string& host) {
                cluster.host(host).documentState = "draining";
                cluster.publish();
            },
            [](Cluster& cluster, const std::string& host) {
                cluster.host(host).documentState = "active";
                cluster.publish();
            } },
        { "platform down",
            [](Cluster& cluster, const std::string&) { cluster.controlPlatform("PUT", "/control/outage", "on"); },
            [](Cluster& cluster, const std::string&) { cluster.controlPlatform("PUT", "/control/outage", "off"); } },
        { "balancer paused",
            [](Cluster& cluster, const std::string&) { cluster.pause(*cluster.balancer("balancer-1").process); },
            [](Cluster& cluster, const std::string&) { cluster.resume(*cluster.balancer("balancer-1").process); } },
        { "backend server sheds load",
            [](Cluster& cluster, const std::string& host) {
                cluster.setBackend(host, { { "shedding", 0.5 } });
            },
            [](Cluster& cluster, const std::string& host) {
                cluster.setBackend(host, { { "shedding", 0.0 } });
            } },
        { "packets of half of the open flows dropped",
            [](Cluster& cluster, const std::string&) {
                cluster.setFaults({ { "silence", { { "fraction", 0.5 } } } });
            },
            doNothing },
    };
}

void runSeed(std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<Fault> faults = allFaults();
    std::shuffle(faults.begin(), faults.end(), random);
    faults.resize(2);
    std::vector<std::string> hosts { "job-1", "job-2", "job-3" };
    std::shuffle(hosts.begin(), hosts.end(), random);
    const std::string description
        = fmt::format("seed {}: {} ({}) and {} ({})", seed, faults[0].name, hosts[0], faults[1].name, hosts[1]);
    MESSAGE(description);
    CAPTURE(description);

    ClusterPlan plan = ClusterPlan::small(seed);
    plan.proxied = true;
    Cluster cluster(plan);
    CallHistory history;
    Traffic traffic(cluster, history, callTimeout);
    traffic.addBenches(8, 1, std::chrono::milliseconds(2), 0.3, "20ms");
    traffic.addWriters(8, std::chrono::milliseconds(20), "20ms");
    traffic.addPrinters(2, 100'000, 0);
    std::this_thread::sleep_for(faultFreeTime);
    faults[0].begin(cluster, hosts[0]);
    std::this_thread::sleep_for(std::chrono::milliseconds(random() % 500));
    faults[1].begin(cluster, hosts[1]);
    std::this_thread::sleep_for(faultTime);
    faults[0].end(cluster, hosts[0]);
    faults[1].end(cluster, hosts[1]);
    std::this_thread::sleep_for(faultTime);
    traffic.stop();
    MESSAGE(history.summary());
    CHECK(history.countStatus(200) > 0);
    requireCleanHistory(history, cluster);
}

}

TEST_CASE("call histories have no violations under two concurrent faults [P2 P3 P4 P5, seeded pairs]")
{
    const std::uint64_t first = numberFromEnvironment("CHICORYFERRY_FIRST_SEED", 1001);
    const std::uint64_t count = numberFromEnvironment("CHICORYFERRY_SEEDS", 5);
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        runSeed(seed);
    }
}
