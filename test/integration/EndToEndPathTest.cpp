// Guards against a component on the path between caller and backend server that does not work even without faults.

#include "CallHistory.h"
#include "CallerSession.h"
#include "Cluster.h"
#include "RequireCleanHistory.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace chicoryferry::integration;

TEST_CASE("every service answers requests through fabric, balancers and agents [no fault]")
{
    Cluster cluster(ClusterPlan::small(101));
    CallHistory history;
    CallerSession bench(history, "10.9.1.1", "job", cluster.entry("10.9.1.1", "job"));
    CallerSession printer(history, "10.9.2.1", "drawing", cluster.entry("10.9.2.1", "drawing"));
    for (int round = 0; round < 20; ++round) {
        CHECK(bench.get(fmt::format("/layout/{}?run=5ms&size=2000", round)).status == 200);
        CHECK(printer.get(fmt::format("/drawings/{}?run=5ms&size=100000&chunked={}", round, round % 2)).status == 200);
        CHECK(bench.post("/corrections?run=2ms", "nick 3 at 41.5 mm", fmt::format("key-{}", round)).status == 200);
    }
    INFO(history.summary());
    CHECK(history.countStatus(200) == 60);
    requireCleanHistory(history, cluster);
}
