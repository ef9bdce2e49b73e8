#pragma once

#include <string_view>

namespace chicoryferry {

// What an agent decided about one flow.
enum class FlowVerdict {
    Admitted, // new flow: delivered, or held until a slot is free; another agent may have admitted it too
    Owned, // the flow is open at this agent
    RefusedFull,
    RefusedLeaving,
    RefusedByBackendServer,
    WrongService,
    NotFound, // the backend server does not hold the flow; another may
    Lost, // the backend server held the flow and does not any more
};

// As it appears in logs and counters.
std::string_view flowVerdictName(FlowVerdict);

}
