// Guarantee P9 of docs/promises.md: connections that go silent permanently are detected within 40 s, their flows and
// slots are freed, and new connections work immediately. Guards against agents that keep dead flows, and against slots
// that stay occupied by requests of callers that are gone.

#include "CallHistory.h"
#include "Cluster.h"
#include "RequireCleanHistory.h"
#include "Traffic.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <future>

using namespace chicoryferry::integration;

namespace {

// Covers the keepalive and progress timeouts of the agents.
constexpr std::chrono::seconds silenceBound { 40 };

// Additional time for the test to observe a change, because the agents update the values that it polls only a few times
// per second.
constexpr std::chrono::seconds observationTime { 5 };

std::uint64_t sumOverAgents(Cluster& cluster, const std::string& field)
{
    std::uint64_t sum = 0;
    for (const std::string name : { "job-1", "job-2", "job-3", "drawing-1", "drawing-2" }) {
        sum += Cluster::status(cluster.host(name).adminAddress).at(field).get<std::uint64_t>();
    }
    return sum;
}

// Polls until the sum reaches the wanted value or observationTime has passed; returns the last sum.
std::uint64_t waitUntilAtLeast(Cluster& cluster, const std::string& field, std::uint64_t wanted)
{
    const auto end = std::chrono::steady_clock::now() + observationTime;
    std::uint64_t seen = sumOverAgents(cluster, field);
    while (seen < wanted && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
        seen = sumOverAgents(cluster, field);
    }
    return seen;
}

std::uint64_t waitUntilZero(Cluster& cluster, const std::string& field, std::chrono::seconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    std::uint64_t left = sumOverAgents(cluster, field);
    while (left > 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
        left = sumOverAgents(cluster, field);
    }
    return left;
}

}

TEST_CASE("silenced flows are freed within 40 s while new connections work [P9, silent drop of open flows]")
{
    Cluster cluster(ClusterPlan::small(701));
    CallHistory history;
    std::vector<std::unique_ptr<CallerSession>> idle;
    for (int number = 0; number < 12; ++number) {
        const std::string caller = fmt::format("10.9.1.{}", 1 + number % 8);
        idle.push_back(std::make_unique<CallerSession>(history, caller, "job", cluster.entry(caller, "job")));
        CHECK(idle.back()->get(fmt::format("/layout/{}?run=1ms", number)).status == 200);
    }
    // Downloads in progress when their flows go silent.
    std::vector<std::unique_ptr<CallerSession>> busy;
    std::vector<std::future<HttpAnswer>> downloads;
    for (int number = 0; number < 4; ++number) {
        const std::string caller = fmt::format("10.9.2.{}", 1 + number);
        busy.push_back(std::make_unique<CallerSession>(history, caller, "drawing", cluster.entry(caller, "drawing")));
        CallerSession& session = *busy.back();
        downloads.push_back(std::async(std::launch::async, [&session, number] {
            return session.get(fmt::format("/drawings/{}?size=50000000&pace=1000000", number), std::chrono::seconds(8));
        }));
    }
    CHECK(waitUntilAtLeast(cluster, "flows", 16) >= 16);
    cluster.setFaults({ { "silence", { { "fraction", 1.0 } } } });
    const auto start = std::chrono::steady_clock::now();

    for (int number = 0; number < 8; ++number) {
        const std::string caller = fmt::format("10.9.1.{}", 1 + number);
        CallerSession session(history, caller, "job", cluster.entry(caller, "job"));
        CHECK(session.get(fmt::format("/layout/new-{}?run=1ms", number), std::chrono::seconds(10)).status == 200);
        session.reset();
    }
    for (std::future<HttpAnswer>& download : downloads) {
        CHECK_FALSE(download.get().complete);
    }
    CHECK(waitUntilZero(cluster, "flows", silenceBound + observationTime) == 0);
    CHECK(waitUntilZero(cluster, "requestsInFlight", observationTime) == 0);
    const auto elapsed = std::chrono::steady_clock::now() - start;
    MESSAGE("seed 701, all flows freed after " << std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()
                                               << " ms\n"
                                               << history.summary());
    CHECK(elapsed <= silenceBound + observationTime);
    requireCleanHistory(history, cluster);
}
