#pragma once

#include "coordination/AgentLoad.h"
#include "coordination/FlowQuery.h"
#include "coordination/OpeningHistory.h"
#include "coordination/OwnerSearch.h"
#include "coordination/SteeringPurpose.h"
#include "protocol/Endpoint.h"
#include "state/FlowKey.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace chicoryferry {

// Send the packet to the agent. The datagram stays valid until the next call of the class that returned the action.
struct SteerPacket {
    Endpoint agent;
    SteeringPurpose purpose { SteeringPurpose::KnownFlow };
    std::uint64_t service { 0 }; // serviceHash()
    std::chrono::milliseconds waitLimit { 0 }; // new flow: maximum wait for a slot
    std::uint32_t priority { 0 }; // new flow: 0 is the highest
    FlowUrgency urgency { FlowUrgency::InTime }; // new flow
    std::uint32_t slots { 0 }; // new flow: number of slots that the backend server publishes
    std::chrono::microseconds expectedWait { 0 }; // new flow: for a slot, from the agent's load report; not transmitted
    std::chrono::milliseconds loadAge { 0 }; // new flow: age of that report, negative: no report; not transmitted
    std::span<const std::uint8_t> datagram;
    std::chrono::milliseconds coldRemaining { 0 }; // new flow: how much longer the backend server is cold
    double coldStartsPerSecond { 0 }; // new flow: first packets that it then bears; 0: no limit
};

// Reset the flow so that the caller learns immediately that it is not served.
struct SendReset {
    FlowKey flow;
    std::uint32_t sequence { 0 };
    std::string_view reason;
    OpeningHistory history {}; // empty if the flow has been open
};

// A refused flow is not reset, because a backend server may have accepted it. The caller gives up by itself.
struct WithholdReset {
    FlowKey flow;
    std::string_view reason; // for which the flow was refused
    OpeningHistory history;
};

// The service that a weighted route selects for the flow has no agent that can take it, so that another service of the
// route takes its share.
struct ReportSkippedService {
    FlowKey flow;
    std::string selected;
    std::string used;
};

// Ask the agents whether they hold an open flow.
struct AskAgents {
    std::vector<Endpoint> agents;
    FlowQuery query;
    OwnerSearch::Stage stage { OwnerSearch::Stage::Offered };
};

// The search for the owner of an open flow has ended without result.
struct ReportFailedSearch {
    FlowKey flow;
    std::string_view reason;
};

using SteeringAction
    = std::variant<SteerPacket, SendReset, WithholdReset, ReportSkippedService, AskAgents, ReportFailedSearch>;

}
