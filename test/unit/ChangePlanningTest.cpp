#include "TestConfigurations.h"
#include "coordination/ChangePlan.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using namespace chicoryferry::testing;

// Guards against a plan that omits hosts or flows affected by a change.
TEST_CASE("a plan lists the affected hosts and the share of flows whose owner changes")
{
    const auto before = makeConfiguration(1, { makeHost("job", 1), makeHost("job", 2), makeHost("job", 3) });
    const auto after = makeConfiguration(
        2, { makeHost("job", 1), makeHost("job", 2, HostState::Draining), makeHost("job", 3), makeHost("job", 4) });
    const auto changes = planChange(before, after);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].gained == std::vector<std::string> { "job-4" });
    CHECK(changes[0].lost.empty());
    CHECK(changes[0].draining == std::vector<std::string> { "job-2" });
    // A third of the flows leaves job-2, a third moves to job-4, and a sixth does both: one half changes its owner.
    CHECK(changes[0].movedFlowShare > 0.47);
    CHECK(changes[0].movedFlowShare < 0.53);
    CHECK(planChange(before, before)[0].movedFlowShare == 0);
}
