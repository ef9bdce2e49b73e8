#pragma once

#include "protocol/Endpoint.h"
#include "transport/TcpFlowPhase.h"

namespace chicoryferry {

// One flow that a TcpStack holds, also when its user has already closed the connection.
struct TcpFlowSummary {
    Endpoint local;
    Endpoint remote;
    TcpFlowPhase phase { TcpFlowPhase::HalfOpen };
};

}
