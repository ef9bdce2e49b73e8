#pragma once

#include <chrono>
#include <cstdint>

namespace chicoryferry {

// The load of one backend server, counted by its agent from the packets that pass.
struct AgentLoad {
    std::uint64_t lifetime { 0 }; // drawn at each start of the agent
    std::uint64_t sequence { 0 }; // rises with each report of a lifetime
    std::uint64_t service { 0 }; // serviceHash() of the service that the agent's backend server serves
    std::uint32_t slots { 1 };
    std::uint32_t working { 0 }; // requests at the backend server without an answer
    std::uint32_t opening { 0 }; // flows delivered that have not carried a request
    std::uint32_t held { 0 }; // flows that wait for a slot and can be in time
    std::uint32_t heldLate { 0 }; // flows that wait for a slot and are late already; they yield to the others
    std::uint32_t demandPercent { 0 }; // slots that flows in time asked for lately, in percent of the slots
    std::uint32_t longRunning { 0 }; // of the working ones, those that have run for far longer than the mean
    std::chrono::microseconds meanWork { 0 }; // time that a request occupies a slot; 0: not known
    bool leaving { false };

    std::uint32_t occupied() const { return this->working + this->opening + this->held; }
};

// How a new flow stands to those that wait for a slot.
enum class FlowUrgency {
    InTime, // it can meet its target latency
    Late, // it cannot, and yields to those that can
};

// The expected time until a slot is free for one more request, with `more` requests on their way besides those that the
// load counts. A slot on which a long request runs is not expected to be free soon. A late flow gets what the flows in
// time leave over.
std::chrono::microseconds expectedWait(const AgentLoad&, std::uint32_t more, FlowUrgency);

// Stands for the time of a request on a slot until an agent has measured it; the mean of the users' services.
inline constexpr std::chrono::microseconds assumedWork { 15000 };

}
