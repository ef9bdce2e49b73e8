#pragma once

namespace chicoryferry {

// Why a packet is sent to an agent.
enum class SteeringPurpose {
    KnownFlow, // the agent owns the flow according to the balancer's cache
    NewFlow, // the agent may admit the flow
    Search, // the owner is not known; the packet is sent to several agents, and the owner delivers it
    // As Search, after no agent has answered: agents that have started recently deliver the packet on trial, and agents
    // whose backend server does not hold the flow say so.
    Recover,
};

}
