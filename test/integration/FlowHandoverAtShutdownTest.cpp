// Guarantees P1 and P7 of docs/promises.md: no planned change breaks an established flow (P1), and a graceful shutdown
// aborts no request in flight (P7). Guards against idle or busy flows that are not handed over, or that break during
// the handover, when the host that holds them shuts down.

#include "CallHistory.h"
#include "CallerSession.h"
#include "Cluster.h"
#include "HistoryChecker.h"

#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <memory>
#include <thread>
#include <vector>

using namespace chicoryferry::integration;

namespace {

constexpr int idleSessions = 60;
constexpr int busySessions = 6;

double flowsOf(Cluster& cluster, const std::string& host)
{
    return cluster.status(cluster.host(host).adminAddress).at("flows").get<double>();
}

}

TEST_CASE("idle and busy flows are handed over when their host shuts down [fault: SIGTERM of an agent]")
{
    Cluster cluster(ClusterPlan::small(202));
    CallHistory history;
    std::vector<std::unique_ptr<CallerSession>> sessions;
    for (int index = 0; index < idleSessions + busySessions; ++index) {
        const std::string caller = fmt::format("10.9.1.{}", index + 1);
        sessions.push_back(std::make_unique<CallerSession>(history, caller, "job", cluster.entry(caller, "job")));
        CHECK(sessions.back()->get(fmt::format("/layout/{}?size=500", index)).status == 200);
    }
    std::this_thread::sleep_for(std::chrono::seconds(1));
    const double held = flowsOf(cluster, "job-1");
    CHECK(held > 0);

    std::atomic<bool> stop { false };
    std::vector<std::thread> busy;
    for (int index = idleSessions; index < idleSessions + busySessions; ++index) {
        busy.emplace_back([&, index] {
            for (int round = 0; !stop; ++round) {
                sessions[static_cast<std::size_t>(index)]->get(fmt::format("/layout/b{}?run=2ms&size=3000", round));
            }
        });
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(500));
    ClusterHost& leaving = cluster.host("job-1");
    leaving.documentState = "draining";
    leaving.instanceState = "leaving";
    cluster.publish();
    leaving.agent->send(SIGTERM);
    CHECK(leaving.agent->waitForExit(std::chrono::seconds(20)));
    CHECK(leaving.agent->exitStatus() == 0);
    std::this_thread::sleep_for(std::chrono::seconds(1));
    stop = true;
    for (std::thread& thread : busy) {
        thread.join();
    }
    const auto stopped = leaving.agent->events("stopped");
    REQUIRE(stopped.size() == 1);
    CHECK(stopped.front().at("drained").get<bool>());

    std::uint64_t broken = 0;
    for (int index = 0; index < idleSessions + busySessions; ++index) {
        CallerSession& session = *sessions[static_cast<std::size_t>(index)];
        CHECK(session.get(fmt::format("/layout/{}?size=500", index)).status == 200);
        broken += session.brokenFlows();
    }
    CHECK(broken == 0);
    double takenOver = 0;
    for (const std::string host : { "job-2", "job-3" }) {
        takenOver += Cluster::metric(cluster.host(host).adminAddress, "chicoryferry_events_total", "flow_taken_over");
    }
    INFO("flows held by the leaving host: ", held, ", taken over: ", takenOver);
    CHECK(takenOver >= held);
    INFO(history.summary());
    for (const std::string& violation : checkHistory(history.calls(), cluster.runs())) {
        FAIL_CHECK(violation);
    }
}
