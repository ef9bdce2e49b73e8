#pragma once

#include <string_view>

namespace chicoryferry {

// What an agent decided about one flow.
enum class FlowVerdict {
    Owned, // delivered, or held until a slot is free
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
