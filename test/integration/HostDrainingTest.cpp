// Guarantees P6 and P7 of docs/promises.md: a draining host starts no new work after 3 s, even if a balancer has a
// stale configuration (P6), and a graceful shutdown aborts no request in flight (P7). Guards against draining agents
// that still admit flows or claim requests, and against processes that exit before their requests are finished.

#include "CallHistory.h"
#include "Cluster.h"
#include "RequireCleanHistory.h"
#include "Traffic.h"

#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <future>

using namespace chicoryferry::integration;

namespace {

constexpr std::chrono::seconds drainBound { 3 };
constexpr std::chrono::seconds observationTime { 4 };

std::int64_t nowUs()
{
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

std::size_t runsStartedAfter(const Cluster& cluster, const std::string& host, std::int64_t time)
{
    std::size_t count = 0;
    for (const nlohmann::json& run : cluster.runs()) {
        const bool started = run.at("started").get<bool>() && run.at("host").get<std::string>() == host;
        count += started && run.at("startUs").get<std::int64_t>() > time ? 1 : 0;
    }
    return count;
}

void requestOverNewConnections(Cluster& cluster, CallHistory& history, std::chrono::seconds time)
{
    const auto end = std::chrono::steady_clock::now() + time;
    for (int number = 0; std::chrono::steady_clock::now() < end; ++number) {
        const std::string caller = fmt::format("10.9.1.{}", 1 + number % 8);
        CallerSession bench(history, caller, "job", cluster.entry(caller, "job"));
        bench.get(fmt::format("/layout/new-{}?run=5ms", number));
    }
}

}

TEST_CASE("a draining host starts no new requests after 3 s [P6, paused balancer]")
{
    Cluster cluster(ClusterPlan::small(501));
    CallHistory history;
    Traffic traffic(cluster, history);
    traffic.addBenches(8, 2, std::chrono::milliseconds(2), 0.1, "10ms");
    traffic.waitUntilOpen(std::chrono::seconds(30));
    CHECK(runsStartedAfter(cluster, "job-1", 0) > 0);

    ClusterBalancer& stale = cluster.balancer("balancer-1");
    cluster.pause(*stale.process);
    cluster.host("job-1").documentState = "draining";
    const std::int64_t limit = nowUs() + std::chrono::microseconds(drainBound).count();
    cluster.publish();
    std::this_thread::sleep_for(drainBound);
    cluster.resume(*stale.process);
    requestOverNewConnections(cluster, history, observationTime);
    traffic.stop();

    MESSAGE("seed 501\n" << history.summary());
    CHECK(runsStartedAfter(cluster, "job-1", limit) == 0);
    CHECK(traffic.brokenFlows() == 0);
    requireCleanHistory(history, cluster);
}

TEST_CASE("an agent finishes its requests in flight after SIGTERM and exits with status 0 [P7, SIGTERM]")
{
    Cluster cluster(ClusterPlan::small(502));
    CallHistory history;
    std::vector<std::unique_ptr<CallerSession>> sessions;
    std::vector<std::future<HttpAnswer>> answers;
    // Six requests run at once and six wait; a single host can finish the remaining ones within the deadline of 10 s.
    for (int number = 0; number < 12; ++number) {
        const std::string caller = fmt::format("10.9.1.{}", 1 + number % 8);
        sessions.push_back(std::make_unique<CallerSession>(history, caller, "job", cluster.entry(caller, "job")));
        CallerSession& session = *sessions.back();
        answers.push_back(std::async(std::launch::async, [&session, number] {
            return session.get(fmt::format("/layout/slow-{}?run=800ms&size=200000&pace=400000", number));
        }));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(400));
    // All three hosts hold connections with outstanding requests; two of the hosts are terminated.
    for (const std::string name : { "job-1", "job-2" }) {
        cluster.host(name).agent->send(SIGTERM);
        cluster.host(name).instanceState = "leaving";
    }
    cluster.publishInstances();
    for (std::future<HttpAnswer>& answer : answers) {
        const HttpAnswer received = answer.get();
        CHECK(received.status == 200);
        CHECK_MESSAGE(received.complete, received.failure);
    }
    MESSAGE("seed 502\n" << history.summary());
    for (const std::string name : { "job-1", "job-2" }) {
        CHECK(cluster.host(name).agent->waitForExit(std::chrono::seconds(30)));
        CHECK(cluster.host(name).agent->exitStatus() == 0);
    }
    requireCleanHistory(history, cluster);
}
