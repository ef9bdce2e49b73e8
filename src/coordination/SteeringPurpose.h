#pragma once

namespace chicoryferry {

// Why a packet is sent to an agent.
enum class SteeringPurpose {
    KnownFlow, // the agent owns the flow according to the balancer's cache
    NewFlow, // the agent may admit the flow
    // The owner is not known. An agent that has started recently delivers the packet on trial, because its backend
    // server may hold the flow.
    Recover,
};

}
