#pragma once

namespace chicoryferry {

// Why a packet is sent to an agent.
enum class SteeringPurpose {
    KnownFlow, // the agent owns the flow according to the balancer's cache
    NewFlow, // the agent may admit the flow
    Search, // the owner is not known; the packet is sent to all agents that may own the flow
    Recover, // no agent has answered a search: the backend server of an agent that has restarted may hold the flow
};

}
