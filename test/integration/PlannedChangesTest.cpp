// Guarantee P1 of docs/promises.md: no planned change breaks an established flow. Guards against balancers or agents
// that determine a flow's owner from anything but the shared configuration, and against draining hosts that lose flows.

#include "CallHistory.h"
#include "Cluster.h"
#include "RequireCleanHistory.h"
#include "Traffic.h"

#include <csignal>
#include <cstdlib>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace chicoryferry::integration;

namespace {

constexpr std::chrono::seconds configurationBound { 5 };
constexpr unsigned benchThreads = 16;

unsigned connectionsPerThread()
{
    const char* text = std::getenv("CHICORYFERRY_FLOWS");
    return text == nullptr ? 125 : static_cast<unsigned>(std::stoul(text)) / benchThreads;
}

// Replaces the balancers one at a time: the new one joins, the replaced one is removed from the fabric and then
// terminated.
void replaceEveryBalancer(Cluster& cluster)
{
    for (const std::string& name : cluster.balancerNames()) {
        ClusterBalancer& added = cluster.addBalancer(cluster.balancer(name).availabilityZone);
        ClusterBalancer& replaced = cluster.balancer(name);
        replaced.instanceState = "leaving";
        replaced.receivesPackets = false;
        // List the new one before it receives packets, because it gets its first configuration from its peers.
        added.receivesPackets = false;
        cluster.publishInstances();
        cluster.waitForReady(added.adminAddress);
        added.receivesPackets = true;
        cluster.publishInstances();
        replaced.process->send(SIGTERM);
        REQUIRE(replaced.process->waitForExit(std::chrono::seconds(15)));
        CHECK(replaced.process->exitStatus() == 0);
        replaced.listed = false;
        cluster.publishInstances();
    }
}

void drainHost(Cluster& cluster, const std::string& name)
{
    cluster.host(name).documentState = "draining";
    CHECK(cluster.waitForVersion(cluster.publish()) <= configurationBound);
}

// Benches that keep their connections open for the whole test, and printers with long downloads.
struct Load {
    explicit Load(Cluster& cluster)
        : traffic(cluster, history)
    {
        this->traffic.addBenches(benchThreads, connectionsPerThread(), std::chrono::milliseconds(5), 0.02, "2ms");
        this->traffic.addPrinters(6, 4'000'000, 1'000'000);
        this->traffic.waitUntilOpen(std::chrono::seconds(60));
    }

    // Stops the load and fails the test case on broken flows, failed calls and violations in the history.
    void finish(const Cluster& cluster)
    {
        this->traffic.stop();
        MESSAGE("seed " << cluster.clusterPlan().seed << ", flows " << this->traffic.openedFlows() << ", calls "
                        << this->history.calls().size() << "\n"
                        << this->history.summary());
        CHECK(this->traffic.openedFlows() >= benchThreads * connectionsPerThread());
        CHECK(this->traffic.brokenFlows() == 0);
        CHECK(this->history.countStatus(200) == this->history.calls().size());
        requireCleanHistory(this->history, cluster);
    }

    CallHistory history;
    Traffic traffic;
};

}

TEST_CASE("no flow breaks while every balancer is replaced and hosts are added and drained [P1, planned changes]")
{
    Cluster cluster(ClusterPlan::small(201));
    Load load(cluster);
    replaceEveryBalancer(cluster);
    cluster.addHost({ "job-4", "job", "dar-1" });
    CHECK(cluster.waitForVersion(cluster.publish()) <= configurationBound);
    drainHost(cluster, "job-1");
    drainHost(cluster, "drawing-1");
    CHECK(load.traffic.waitForFurtherRequests(std::chrono::seconds(30)));
    load.finish(cluster);
}

TEST_CASE("no flow breaks while a host that holds flows is drained and terminated [P1, planned removal]")
{
    Cluster cluster(ClusterPlan::small(202));
    Load load(cluster);
    drainHost(cluster, "job-1");
    cluster.host("job-1").instanceState = "leaving";
    cluster.publishInstances();
    cluster.host("job-1").agent->send(SIGTERM);
    CHECK(load.traffic.waitForFurtherRequests(std::chrono::seconds(30)));
    load.finish(cluster);
}
