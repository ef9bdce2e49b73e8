#pragma once

#include "protocol/Endpoint.h"
#include "transport/TcpFlowPhase.h"

namespace chicoryferry {

// One flow that a TcpStack holds, whether or not its user still knows the connection.
struct TcpFlowSummary {
    Endpoint local;
    Endpoint remote;
    TcpFlowPhase phase { TcpFlowPhase::HalfOpen };
};

}
