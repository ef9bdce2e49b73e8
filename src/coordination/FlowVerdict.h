#pragma once

#include <string_view>

namespace chicoryferry {

// An agent's decision on a flow.
enum class FlowVerdict {
    Admitted, // new flow: delivered or queued until a slot is free; another agent may have admitted it as well
    Owned, // the flow is open at this agent
    RefusedFull,
    RefusedLeaving,
    RefusedByBackendServer,
    WrongService,
    NotFound, // the backend server does not hold the flow; another one may
    Lost, // the backend server held the flow but no longer does
    MayHold, // the backend server may hold the flow from before the agent's start
    RefusedEvacuated, // new flow: the backend server's availability zone is evacuated
};

// Whether the agent has refused a new flow, or lost an open one, as opposed to answering where a flow is.
bool isRefusal(FlowVerdict);

// Name of the verdict in logs and metrics.
std::string_view flowVerdictName(FlowVerdict);

}
