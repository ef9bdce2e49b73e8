#pragma once

#include "coordination/FlowVerdict.h"
#include "protocol/Endpoint.h"
#include "state/FlowKey.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <variant>

namespace chicoryferry {

// Send the packet to the backend server. The datagram stays valid until the next call of the class that returned it.
struct DeliverToBackendServer {
    std::span<const std::uint8_t> datagram;
};

// Send the backend server's packet to the caller.
struct DeliverToCaller {
    Endpoint caller;
    std::span<const std::uint8_t> datagram;
};

// Tell the balancer what was decided about a flow.
struct SendVerdict {
    Endpoint balancer;
    FlowKey flow;
    FlowVerdict verdict { FlowVerdict::Owned };
    std::chrono::microseconds expectedWait { 0 }; // that decided about a new flow
    std::chrono::microseconds held { 0 }; // how long the flow has waited for a slot
};

// A request was delivered to the backend server.
struct ReportRequest {
    FlowKey flow;
    std::string requestId;
    std::uint32_t working { 0 }; // requests at the backend server, this one included
};

// A request's flow is gone from the backend server, without an answer to the request.
struct ReportLostRequest {
    FlowKey flow;
    std::string requestId;
};

// The backend server began its answer to a request.
struct ReportAnswer {
    FlowKey flow;
    std::string requestId;
    int status { 0 };
    std::chrono::microseconds sinceFirstPacket { 0 };
    std::chrono::microseconds work { 0 }; // from the request to the answer
};

using AgentAction = std::variant<DeliverToBackendServer, DeliverToCaller, SendVerdict, ReportRequest, ReportLostRequest,
    ReportAnswer>;

}
