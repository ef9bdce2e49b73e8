#pragma once

#include <chrono>
#include <cstdint>

namespace chicoryferry {

// The load of one backend server, derived by its agent from the packets that it forwards.
struct AgentLoad {
    std::uint64_t incarnation { 0 }; // random number drawn at each start of the agent
    std::uint64_t sequence { 0 }; // increases with each report of the same run
    std::uint64_t service { 0 }; // serviceHash() of the service that the agent's backend server serves
    std::uint32_t slots { 1 };
    std::uint32_t working { 0 }; // requests at the backend server that have not been answered
    std::uint32_t opening { 0 }; // flows delivered that have not carried a request yet
    std::uint32_t held { 0 }; // queued flows that can meet their target latency
    std::uint32_t heldLate { 0 }; // queued flows that cannot meet their target latency; the others take precedence
    std::uint32_t demandPercent { 0 }; // recent demand of in-time flows in percent of the slots
    std::uint32_t longRunning { 0 }; // requests in `working` that have run for far longer than the mean
    std::chrono::microseconds meanWork { 0 }; // mean time that a request occupies a slot; 0: unknown
    bool leaving { false };
    bool reportsChanges { false }; // each change of the load is reported at once, so that the report does not age
    std::chrono::milliseconds startWait { 0 }; // until the backend server, which is cold, bears another first packet

    std::uint32_t occupied() const { return this->working + this->opening + this->held; }
};

// Whether a new flow takes precedence in the queue for slots.
enum class FlowUrgency {
    InTime, // can meet its target latency
    Late, // cannot meet its target latency; in-time flows take precedence
};

// Expected time until a slot is free for one more request, given `more` requests in transit in addition to those
// counted in the load. Slots occupied by long requests are not expected to become free soon. Late flows only get the
// capacity that in-time flows leave unused.
std::chrono::microseconds expectedWait(const AgentLoad&, std::uint32_t more, FlowUrgency);

// Used as the mean work time until an agent has measured it; the mean of the users' services.
inline constexpr std::chrono::microseconds defaultMeanWork { 15000 };

}
