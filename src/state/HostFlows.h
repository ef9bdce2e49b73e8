#pragma once

#include "protocol/Endpoint.h"
#include "protocol/FlowPacket.h"
#include "state/FlowKey.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

// Progress of a flow at the backend server.
enum class HostFlowPhase {
    Opening, // delivered; the caller's request is expected
    Stalled, // delivered; the caller's request is overdue, so that no slot is reserved for it
    Idle, // open; no request in progress
    Working, // the backend server has received a request and has not started to answer
    Closed, // both ends have finished
};

struct HostFlow {
    HostFlowPhase phase { HostFlowPhase::Opening };
    Endpoint balancer; // the balancer that last forwarded a packet of the flow
    std::uint32_t hostSequence { 0 }; // sequence number of the backend server's first packet
    bool hostAnswered { false }; // the backend server has accepted the flow
    bool opened { false }; // the caller has accepted the backend server's answer
    bool callerFinished { false };
    bool hostFinished { false };
    std::chrono::steady_clock::time_point startedAt;
    std::chrono::steady_clock::time_point phaseSince;
    std::chrono::steady_clock::time_point lastPacket;
    std::chrono::microseconds workDuration { 0 }; // time from the last request to the start of its answer
    std::string requestId; // of the request that has not been answered yet
};

// The flows of the agent's backend server, tracked from the packets that pass through the agent. The backend server is
// authoritative: it may have flows that are missing here, for example after a restart of the agent.
class HostFlows {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    HostFlow& open(const FlowKey&, const Endpoint& balancer, TimePoint now);
    HostFlow* find(const FlowKey&);
    void erase(const FlowKey&);
    void setPhase(HostFlow&, HostFlowPhase, TimePoint now);

    // Number of flows that have been in phase Working for longer than the limit.
    std::uint32_t workingLongerThan(std::chrono::microseconds limit, TimePoint now) const;

    // Marks flows as stalled that have been in phase Opening for longer than the limit.
    void markStalled(std::chrono::milliseconds limit, TimePoint now);

    // Returns opening flows that the backend server has not answered within the limit.
    std::vector<FlowKey> unanswered(std::chrono::milliseconds limit, TimePoint now) const;

    // Removes flows without packets for longer than the limit. Closed flows and flows that the caller has not opened
    // are removed after fixed times without packets.
    void expire(std::chrono::milliseconds idleLimit, TimePoint now);

    std::uint32_t opening() const { return this->counts[static_cast<std::size_t>(HostFlowPhase::Opening)]; }
    std::uint32_t working() const { return this->counts[static_cast<std::size_t>(HostFlowPhase::Working)]; }
    std::size_t size() const { return this->flows.size(); }
    // Number of flows that a graceful shutdown waits for.
    std::size_t unfinished() const;

private:
    std::unordered_map<FlowKey, HostFlow, FlowKeyHash> flows;
    std::array<std::uint32_t, 5> counts {}; // number of flows in each phase
};

}
