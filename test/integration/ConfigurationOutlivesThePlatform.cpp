// P8: an accepted configuration is in force everywhere within 5 s and never reverts. Guards against processes that
// forget or step back when the platform is down or serves an old version, newcomers that wait for the platform, and
// readers that flood it.

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

// Readers are two for each of three availability zones, and each asks for two documents; a waiting question counts as
// one call. Half a second a question leaves room for retries against a platform that is down.
constexpr double mostCallsPerSecond = 2 * 3 * 2 * 2;

double platformCalls(const Cluster& cluster)
{
    double sum = 0;
    const nlohmann::json calls = cluster.controlPlatform("GET", "/control/calls", nullptr);
    for (const auto& [path, count] : calls.items()) {
        sum += count.get<double>();
    }
    return sum;
}

// Publishes a change and returns its version once it is in force everywhere.
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
        MESSAGE("in force everywhere after " << waited.count() << " ms");
    }
}

TEST_CASE("requests go on and no version reverts while the platform is down or stale [P8, outage, old version]")
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
    MESSAGE("calls a second: " << callsPerSecond);
    CHECK(callsPerSecond <= mostCallsPerSecond);
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

TEST_CASE("a process that joins gets the newest version from its peers [P8, platform serves an old version]")
{
    Cluster cluster(ClusterPlan::small(603));
    const std::uint64_t version = changeTier(cluster, "b");
    cluster.controlPlatform("PUT", "/control/stale", 1);
    ClusterBalancer& joined = cluster.addBalancer("dar-3");
    cluster.waitForReady(joined.adminAddress, joiningLimit);
    CHECK(versionAt(joined.adminAddress) == version);
}

TEST_CASE("a process that joins gets the newest version from its peers [P8, platform down]")
{
    Cluster cluster(ClusterPlan::small(604));
    const std::uint64_t version = changeTier(cluster, "b");
    cluster.controlPlatform("PUT", "/control/outage", "on");
    ClusterBalancer& joined = cluster.addBalancer("dar-3");
    cluster.waitForReady(joined.adminAddress, joiningLimit);
    CHECK(versionAt(joined.adminAddress) == version);
}
