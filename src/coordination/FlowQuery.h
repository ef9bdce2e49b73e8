#pragma once

#include "state/FlowKey.h"

#include <cstdint>
#include <optional>

namespace chicoryferry {

// A balancer's question to an agent whether its backend server holds an open flow.
struct FlowQuery {
    FlowKey flow;
    std::optional<std::uint32_t> acknowledgement; // of the caller's packet, if it acknowledges one
};

}
