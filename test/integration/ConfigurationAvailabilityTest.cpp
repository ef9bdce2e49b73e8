// Guarantee P8 of docs/promises.md: an accepted configuration is in force on every process within 5 s and never
// reverts. Guards against processes that lose the configuration or revert to an older one while the platform is down or
// serves an old version, joining processes that wait for the platform, and processes that overload the platform with
// reads.

#include "CallHistory.h"
#include "Cluster.h"
#include "RequireCleanHistory.h"
#include "Traffic.h"

#include <doctest/doctest.h>

using namespace chicoryferry::integration;
using chicoryferry::Endpoint;

namespace {

constexpr std::chrono::seconds configurationBound { 5 };
constexpr std::chrono::seconds joiningLimit { 10 };
constexpr std::chrono::seconds faultTime { 5 };

// Two readers in each of three availability zones poll two documents each; a long poll counts as one call. Two calls
// per second and document leave room for retries while the platform is down.
constexpr double maxCallsPerSecond = 2 * 3 * 2 * 2;

double platformCalls(const Cluster& cluster)
{
    double sum = 0;
    const nlohmann::json calls = cluster.controlPlatform("GET", "/control/calls", nullptr);
    for (const auto& [path, count] : calls.items()) {
        sum += count.get<double>();
    }
    return sum;
}

// Publishes a change of the label "tier" and returns its version once it is in force on all processes.
std::uint64_t changeTier(Cluster& cluster, const std::string& tier)
{
    cluster.host("job-2").labels["tier"] = tier;
    const std::uint64_t version = cluster.publish();
    cluster.waitForVersion(version);
    return version;
}

std::uint64_t versionAt(const Endpoint& adminAddress)
{
    return Cluster::status(adminAddress).at("configurationVersion").get<std::uint64_t>();
}

}

TEST_CASE("a change is in force on every process within 5 s [P8, no fault]")
{
    Cluster cluster(ClusterPlan::small(601));
    for (int round = 0; round < 4; ++round) {
        cluster.host("job-2").labels["tier"] = std::to_string(round);
        const auto waited = cluster.waitForVersion(cluster.publish());
        CHECK(waited <= configurationBound);
        MESSAGE("in force on all processes after " << waited.count() << " ms");
    }
}

TEST_CASE("requests succeed and no configuration reverts while the platform is down or stale [P8, outage, old version]")
{
    Cluster cluster(ClusterPlan::small(602));
    CallHistory history;
    Traffic traffic(cluster, history);
    traffic.addBenches(4, 2, std::chrono::milliseconds(5), 0.1, "5ms");
    traffic.waitUntilOpen(std::chrono::seconds(30));
    const std::uint64_t version = changeTier(cluster, "b");

    SUBCASE("platform answers 503") { cluster.controlPlatform("PUT", "/control/outage", "on"); }
    SUBCASE("platform does not answer") { cluster.controlPlatform("PUT", "/control/outage", "hang"); }
    SUBCASE("platform serves version 1") { cluster.controlPlatform("PUT", "/control/stale", 1); }

    const double callsBefore = platformCalls(cluster);
    std::this_thread::sleep_for(faultTime);
    const double callsPerSecond
        = (platformCalls(cluster) - callsBefore) / std::chrono::duration<double>(faultTime).count();
    MESSAGE("platform calls per second: " << callsPerSecond);
    CHECK(callsPerSecond <= maxCallsPerSecond);
    for (const std::string name : { "job-1", "job-2", "job-3", "drawing-1", "drawing-2" }) {
        CHECK(versionAt(cluster.host(name).adminAddress) == version);
    }

    cluster.controlPlatform("PUT", "/control/outage", "off");
    cluster.controlPlatform("PUT", "/control/stale", "off");
    changeTier(cluster, "c");
    traffic.stop();
    CHECK(traffic.brokenFlows() == 0);
    CHECK(history.countStatus(200) == history.calls().size());
    requireCleanHistory(history, cluster);
}

TEST_CASE("a joining process gets the newest configuration from its peers [P8, platform serves an old version]")
{
    Cluster cluster(ClusterPlan::small(603));
    const std::uint64_t version = changeTier(cluster, "b");
    cluster.controlPlatform("PUT", "/control/stale", 1);
    ClusterBalancer& joined = cluster.addBalancer("dar-3");
    cluster.waitForReady(joined.adminAddress, joiningLimit);
    CHECK(versionAt(joined.adminAddress) == version);
}

TEST_CASE("a joining process gets the newest configuration from its peers [P8, platform down]")
{
    Cluster cluster(ClusterPlan::small(604));
    const std::uint64_t version = changeTier(cluster, "b");
    cluster.controlPlatform("PUT", "/control/outage", "on");
    ClusterBalancer& joined = cluster.addBalancer("dar-3");
    cluster.waitForReady(joined.adminAddress, joiningLimit);
    CHECK(versionAt(joined.adminAddress) == version);
}
