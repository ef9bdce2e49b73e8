// Guarantee P2 of docs/promises.md: packets and requests for one service never reach another. Guards against agents
// that accept packets from a balancer with a stale configuration unchecked, also when the address now belongs to a host
// of another service.

#include "CallHistory.h"
#include "Cluster.h"
#include "RequireCleanHistory.h"
#include "Traffic.h"

#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace chicoryferry::integration;

namespace {

constexpr std::chrono::seconds recoveryLimit { 60 };

void addLoad(Traffic& traffic)
{
    traffic.addBenches(8, 3, std::chrono::milliseconds(5), 0.1, "5ms");
    traffic.addPrinters(4, 200'000, 0);
    traffic.waitUntilOpen(recoveryLimit);
}

// Opens new connections, so that first packets also pass through the stale balancer.
void requestOverNewConnections(Cluster& cluster, CallHistory& history, int count)
{
    for (int number = 0; number < count; ++number) {
        const std::string caller = fmt::format("10.9.1.{}", 1 + number % 8);
        CallerSession bench(history, caller, "job", cluster.entry(caller, "job"));
        bench.get(fmt::format("/layout/new-{}?run=1ms", number));
        CallerSession printer(history, caller, "drawing", cluster.entry(caller, "drawing"));
        printer.get(fmt::format("/thumbnails/new-{}?run=1ms", number));
    }
}

void finish(Cluster& cluster, CallHistory& history, Traffic& traffic)
{
    CHECK(traffic.waitForFurtherRequests(recoveryLimit));
    traffic.stop();
    MESSAGE("seed " << cluster.clusterPlan().seed << "\n" << history.summary());
    CHECK(history.countStatus(200) > 0);
    requireCleanHistory(history, cluster);
}

}

TEST_CASE("a relabelled host serves only its new service [P2, relabelled host, paused balancer]")
{
    Cluster cluster(ClusterPlan::small(301));
    CallHistory history;
    Traffic traffic(cluster, history);
    addLoad(traffic);
    ClusterBalancer& stale = cluster.balancer("balancer-1");
    cluster.pause(*stale.process);

    // As an operator would: remove the host from the job service first and change the backend server once that is in
    // force.
    ClusterHost& host = cluster.host("job-3");
    host.labels["quarantined"] = "true";
    cluster.waitForVersion(cluster.publish());
    std::this_thread::sleep_for(std::chrono::seconds(1));
    cluster.setBackend("job-3", { { "service", "drawing" } });
    host.labels = { { "service", "drawing" } };
    cluster.waitForVersion(cluster.publish());

    cluster.resume(*stale.process);
    requestOverNewConnections(cluster, history, 60);
    finish(cluster, history, traffic);
    CHECK(traffic.brokenFlows() == 0);
}

TEST_CASE("a host that reuses an address gets no packets of the earlier host [P2, re-used address, paused balancer]")
{
    Cluster cluster(ClusterPlan::small(302));
    CallHistory history;
    Traffic traffic(cluster, history);
    addLoad(traffic);
    ClusterBalancer& stale = cluster.balancer("balancer-1");
    cluster.pause(*stale.process);

    ClusterHost& earlier = cluster.host("job-3");
    earlier.agent->send(SIGKILL);
    REQUIRE(earlier.agent->waitForExit(std::chrono::seconds(5)));
    earlier.inDocument = false;
    earlier.listed = false;
    cluster.addHost({ "drawing-3", "drawing", "dar-3" }, &earlier);
    cluster.waitForVersion(cluster.publish());

    cluster.resume(*stale.process);
    requestOverNewConnections(cluster, history, 60);
    finish(cluster, history, traffic);
}
