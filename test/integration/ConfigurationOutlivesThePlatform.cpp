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

TEST_CASE("requests go on and newcomers join while the platform is down or stale [P8, outage, old version]")
{
    Cluster cluster(ClusterPlan::small(602));
    CallHistory history;
    Traffic traffic(cluster, history);
    traffic.addBenches(4, 2, std::chrono::milliseconds(5), 0.1, "5ms");
    traffic.waitUntilOpen(std::chrono::seconds(30));
    cluster.host("job-2").labels["tier"] = "b";
    const std::uint64_t version = cluster.publish();
    cluster.waitForVersion(version);

    SUBCASE("platform answers 503") { cluster.controlPlatform("PUT", "/control/outage", "on"); }
    SUBCASE("platform does not answer") { cluster.controlPlatform("PUT", "/control/outage", "hang"); }
    SUBCASE("platform serves version 1") { cluster.controlPlatform("PUT", "/control/stale", 1); }

    const double callsBefore = platformCalls(cluster);
    const auto start = std::chrono::steady_clock::now();
    ClusterBalancer& joined = cluster.addBalancer("dar-3");
    cluster.waitForReady(joined.adminAddress, std::chrono::seconds(10));
    CHECK(versionAt(joined.adminAddress) == version);
    std::this_thread::sleep_for(std::chrono::seconds(4));
    const std::chrono::duration<double> time = std::chrono::steady_clock::now() - start;
    const double callsPerSecond = (platformCalls(cluster) - callsBefore) / time.count();
    MESSAGE("calls a second: " << callsPerSecond);
    CHECK(callsPerSecond <= mostCallsPerSecond);
    for (const std::string name : { "job-1", "job-2", "job-3", "drawing-1", "drawing-2" }) {
        CHECK(versionAt(cluster.host(name).adminAddress) == version);
    }

    cluster.controlPlatform("PUT", "/control/outage", "off");
    cluster.controlPlatform("PUT", "/control/stale", "off");
    cluster.host("job-2").labels["tier"] = "c";
    cluster.waitForVersion(cluster.publish(), std::chrono::seconds(15));
    traffic.stop();
    CHECK(traffic.brokenFlows() == 0);
    CHECK(history.countStatus(200) == history.calls().size());
    requireCleanHistory(history, cluster);
}
