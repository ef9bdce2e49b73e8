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

// Send the verdict on a flow to the balancer.
struct SendVerdict {
    Endpoint balancer;
    FlowKey flow;
    FlowVerdict verdict { FlowVerdict::Owned };
    std::chrono::microseconds expectedWait { 0 }; // new flow: expected wait on which the verdict is based
    std::chrono::microseconds held { 0 }; // time that the flow has waited for a slot
};

// Report that a request was delivered to the backend server.
struct ReportRequest {
    FlowKey flow;
    std::string requestId;
    std::uint32_t working { 0 }; // requests at the backend server, including this one
};

// Report that the backend server no longer holds the flow of a request and has not answered the request.
struct ReportLostRequest {
    FlowKey flow;
    std::string requestId;
};

// Report that the backend server has started to answer a request.
struct ReportAnswer {
    FlowKey flow;
    std::string requestId;
    int status { 0 };
    std::chrono::microseconds sinceFirstPacket { 0 };
    std::chrono::microseconds work { 0 }; // time from the request to the start of the answer
};

// Report that the backend server returned a packet other than the first one of a flow.
struct ReportReturnedPacket {
    FlowKey flow;
    bool known { false }; // the agent had the flow; otherwise it had delivered the packet on trial
};

// Report that the agent took over a flow that its backend server holds from before the agent's start.
struct ReportRecoveredFlow {
    FlowKey flow;
};

using AgentAction = std::variant<DeliverToBackendServer, DeliverToCaller, SendVerdict, ReportRequest, ReportLostRequest,
    ReportAnswer, ReportReturnedPacket, ReportRecoveredFlow>;

}
