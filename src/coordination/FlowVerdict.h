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
};

// Name of the verdict in logs and metrics.
std::string_view flowVerdictName(FlowVerdict);

}
