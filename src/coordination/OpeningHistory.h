#pragma once

#include "coordination/FlowVerdict.h"
#include "protocol/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace chicoryferry {

// An offer of a new flow to an agent.
struct OfferOutcome {
    Endpoint agent;
    std::optional<FlowVerdict> verdict; // nothing: none has arrived
    std::chrono::milliseconds delay { 0 }; // until the verdict, or until now if there is none
};

// What a balancer knows of a new flow, for logs.
struct OpeningHistory {
    // Numbers that the first and the last transmission of the first packet carried that arrived here; the caller counts
    // from 0. Other balancers may have received the transmissions before the first and those that are missing.
    std::uint32_t firstTransmission { 0 };
    std::uint32_t lastTransmission { 0 };
    std::chrono::milliseconds age { 0 }; // since the caller sent the packet first, as estimated
    bool possiblyOpen { false }; // a backend server may have accepted the flow
    std::vector<OfferOutcome> offers; // in order
};

}
