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

// How far a flow at the backend server is.
enum class HostFlowPhase {
    Opening, // delivered; the caller's next packet is expected
    Stalled, // delivered; the caller's next packet is overdue, so that no request is expected
    Idle, // open, no request is in progress
    Working, // the backend server has a request and has not begun its answer
    Closed, // both ends have finished
};

struct HostFlow {
    HostFlowPhase phase { HostFlowPhase::Opening };
    Endpoint balancer; // the last one that forwarded a packet of the flow
    std::uint32_t hostSequence { 0 }; // of the backend server's first packet
    bool hostAnswered { false }; // the backend server has accepted the flow
    bool callerFinished { false };
    bool hostFinished { false };
    std::chrono::steady_clock::time_point startedAt;
    std::chrono::steady_clock::time_point phaseSince;
    std::chrono::steady_clock::time_point lastPacket;
    std::chrono::microseconds work { 0 }; // of the last request, until its answer began
    std::string requestId; // of the request whose answer has not been seen
};

// The flows that the agent's backend server holds, as seen from the packets that pass. The backend server is the owner;
// a flow that is not in the table may still be there, for example after a restart of the agent.
class HostFlows {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    HostFlow& open(const FlowKey&, const Endpoint& balancer, TimePoint now);
    HostFlow* find(const FlowKey&);
    void erase(const FlowKey&);
    void setPhase(HostFlow&, HostFlowPhase, TimePoint now);

    // Counts the working flows that have been at it for longer than the limit.
    std::uint32_t workingLongerThan(std::chrono::microseconds limit, TimePoint now) const;

    // Marks opening flows as stalled whose caller has not gone on within the limit after the backend server's answer.
    void stall(std::chrono::milliseconds limit, TimePoint now);

    // Opening flows that the backend server has not answered within the limit.
    std::vector<FlowKey> unanswered(std::chrono::milliseconds limit, TimePoint now) const;

    // Forgets flows that ended, that never opened, and that were idle for longer than the limit.
    void expire(std::chrono::milliseconds idleLimit, TimePoint now);

    std::uint32_t opening() const { return this->counts[static_cast<std::size_t>(HostFlowPhase::Opening)]; }
    std::uint32_t working() const { return this->counts[static_cast<std::size_t>(HostFlowPhase::Working)]; }
    std::size_t size() const { return this->flows.size(); }
    // Flows that a graceful shutdown waits for.
    std::size_t unfinished() const;

private:
    std::unordered_map<FlowKey, HostFlow, FlowKeyHash> flows;
    std::array<std::uint32_t, 5> counts {};
};

}
