// P1: every planned change leaves established flows alone. Guards against balancers or agents that decide on a flow's
// owner from anything but the shared configuration, and against draining hosts that lose what they hold.

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

// Replaces each balancer by a new one: the new one joins, the old one leaves the fabric, then it is terminated.
void replaceEveryBalancer(Cluster& cluster)
{
    for (const std::string& name : cluster.balancerNames()) {
        ClusterBalancer& added = cluster.addBalancer(cluster.balancer(name).availabilityZone);
        ClusterBalancer& old = cluster.balancer(name);
        old.instanceState = "leaving";
        old.sprayed = false;
        // The new one is listed first, because it gets its first configuration from its peers.
        added.sprayed = false;
        cluster.publishInstances();
        cluster.waitForReady(added.adminAddress);
        added.sprayed = true;
        cluster.publishInstances();
        old.process->send(SIGTERM);
        REQUIRE(old.process->waitForExit(std::chrono::seconds(15)));
        CHECK(old.process->exitStatus() == 0);
        old.listed = false;
        cluster.publishInstances();
    }
}

void drainHost(Cluster& cluster, const std::string& name)
{
    cluster.host(name).documentState = "draining";
    CHECK(cluster.waitForVersion(cluster.publish()) <= configurationBound);
}

}

TEST_CASE("no flow breaks while balancers are replaced and hosts are added, drained and removed [P1, planned changes]")
{
    Cluster cluster(ClusterPlan::small(201));
    CallHistory history;
    Traffic traffic(cluster, history);
    traffic.addBenches(benchThreads, connectionsPerThread(), std::chrono::milliseconds(5), 0.02, "2ms");
    traffic.addPrinters(6, 4'000'000, 1'000'000);
    traffic.waitUntilOpen(std::chrono::seconds(60));

    replaceEveryBalancer(cluster);
    cluster.addHost({ "job-4", "job", "dar-1" });
    CHECK(cluster.waitForVersion(cluster.publish()) <= configurationBound);
    drainHost(cluster, "job-1");
    drainHost(cluster, "drawing-1");
    // The leaving host is terminated while its flows are open: it hands them over or serves them to their end.
    cluster.host("job-1").instanceState = "leaving";
    cluster.publishInstances();
    cluster.host("job-1").agent->send(SIGTERM);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    traffic.stop();

    MESSAGE("seed 201, flows " << traffic.openedFlows() << ", calls " << history.calls().size() << "\n"
                               << history.summary());
    CHECK(traffic.openedFlows() >= benchThreads * connectionsPerThread());
    CHECK(traffic.brokenFlows() == 0);
    CHECK(history.countIncomplete() == 0);
    requireCleanHistory(history, cluster);
}
