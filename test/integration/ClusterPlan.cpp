#include "ClusterPlan.h"

namespace chicoryferry::integration {

ClusterPlan ClusterPlan::small(std::uint64_t seed)
{
    ClusterPlan plan;
    plan.seed = seed;
    plan.balancerZones = { "dar-1", "dar-2" };
    plan.hosts = {
        { "job-1", "job", "dar-1" },
        { "job-2", "job", "dar-2" },
        { "job-3", "job", "dar-3" },
        { "drawing-1", "drawing", "dar-1" },
        { "drawing-2", "drawing", "dar-2" },
    };
    return plan;
}

}
