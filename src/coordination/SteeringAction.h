#pragma once

#include "coordination/AgentLoad.h"
#include "protocol/Endpoint.h"
#include "state/FlowKey.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>

namespace chicoryferry {

// Why a packet goes to an agent.
enum class SteeringPurpose {
    KnownFlow, // the agent owns the flow, as far as the balancer knows
    NewFlow, // the agent may admit the flow
    Search, // the owner is not known; it goes to every agent of the service
};

// Send the packet to the agent. The datagram stays valid until the next call of the class that returned the action.
struct SteerPacket {
    Endpoint agent;
    SteeringPurpose purpose { SteeringPurpose::KnownFlow };
    std::uint64_t service { 0 }; // serviceHash()
    std::chrono::milliseconds waitLimit { 0 }; // new flow: longest wait for a slot
    std::uint32_t priority { 0 }; // new flow: 0 is the highest
    FlowUrgency urgency { FlowUrgency::InTime }; // new flow
    std::uint32_t slots { 0 }; // new flow: of the backend server, as it publishes them
    std::chrono::microseconds expectedWait { 0 }; // new flow: for a slot, as the agent's report says; not sent on
    std::chrono::milliseconds loadAge { 0 }; // new flow: of that report, negative: there is none; not sent on
    std::span<const std::uint8_t> datagram;
};

// Tell the caller at once that the flow is not served.
struct SendReset {
    FlowKey flow;
    std::uint32_t sequence { 0 };
    std::string_view reason;
};

using SteeringAction = std::variant<SteerPacket, SendReset>;

}
