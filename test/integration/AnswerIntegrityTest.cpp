// Guarantee P3 of docs/promises.md: each caller gets the complete answer to its own request. Guards against answers
// that are mixed up, truncated or wrongly marked as complete when packets or messages between agents are lost, delayed,
// duplicated or reordered, or when a backend server aborts an answer.

#include "CallHistory.h"
#include "Cluster.h"
#include "RequireCleanHistory.h"
#include "Traffic.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace chicoryferry::integration;

namespace {

constexpr std::chrono::seconds loadTime { 5 };

void runLoad(Cluster& cluster, CallHistory& history)
{
    Traffic traffic(cluster, history);
    traffic.addBenches(12, 1, std::chrono::milliseconds(2), 0.2, "15ms");
    traffic.addPrinters(4, 150'000, 0);
    std::this_thread::sleep_for(loadTime);
    traffic.stop();
    MESSAGE("seed " << cluster.clusterPlan().seed << "\n" << history.summary());
}

}

TEST_CASE("answers are complete despite packet faults [P3, late, lost, duplicated, reordered packets]")
{
    Cluster cluster(ClusterPlan::small(801));
    CallHistory history;
    cluster.setFaults({ { "loss", 0.01 }, { "duplication", 0.05 }, { "reordering", 0.1 }, { "reorderDelayMs", 8 },
        { "delayMs", { 0, 3 } } });
    runLoad(cluster, history);
    CHECK(history.countStatus(200) == history.calls().size());
    requireCleanHistory(history, cluster);
}

TEST_CASE("answers are intact when messages between agents are delayed and reordered [P3, late, duplicated messages]")
{
    ClusterPlan plan = ClusterPlan::small(802);
    plan.proxied = true;
    Cluster cluster(plan);
    CallHistory history;
    cluster.setProxyRules({ { { "kinds", { "answer_head", "answer_body", "answer_end", "grant", "claim" } },
        { "delayMs", { 0, 40 } }, { "duplicate", 0.2 } } });
    runLoad(cluster, history);
    CHECK(history.countStatus(200) > 0);
    requireCleanHistory(history, cluster);
}

TEST_CASE("an answer that the backend server aborts does not look complete to the caller [P3, backend server resets]")
{
    Cluster cluster(ClusterPlan::small(803));
    CallHistory history;
    for (int number = 0; number < 12; ++number) {
        CallerSession printer(history, "10.9.2.1", "drawing", cluster.entry("10.9.2.1", "drawing"));
        const HttpAnswer answer = printer.get(
            fmt::format("/drawings/{}?size=100000&cut={}&chunked={}", number, 20'000 + 5'000 * number, number % 2));
        CHECK_FALSE((answer.complete && answer.status == 200));
    }
    MESSAGE("seed 803\n" << history.summary());
    requireCleanHistory(history, cluster);
}
