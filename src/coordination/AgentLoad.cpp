#include "coordination/AgentLoad.h"

#include <algorithm>

namespace chicoryferry {

namespace {

// A long request runs about seven times the mean (the users' site files); once it is seen to be long, about half of
// that is left.
constexpr int meansLeftOfLongRequest = 3;

// From this demand on the slots are as good as taken by flows in time, and a late flow would only delay them.
constexpr std::uint32_t fullDemandPercent = 70;
constexpr std::uint32_t allPercent = 100;

std::chrono::microseconds waitBehind(const AgentLoad& load, std::uint32_t occupied)
{
    const auto work = load.meanWork.count() > 0 ? load.meanWork : assumedWork;
    const std::uint32_t slots = std::max(1U, load.slots);
    if (occupied < slots) {
        return std::chrono::microseconds(0);
    }
    const std::uint32_t stuck = std::min(load.longRunning, slots);
    if (stuck == slots) {
        return work * (meansLeftOfLongRequest + (occupied - slots) / slots);
    }
    // The requests on the other slots are half done on average.
    const std::uint32_t moving = slots - stuck;
    return work * (2 * (occupied - slots) + 1) / (2 * moving);
}

}

std::chrono::microseconds expectedWait(const AgentLoad& load, std::uint32_t more, FlowUrgency urgency)
{
    if (urgency == FlowUrgency::InTime) {
        return waitBehind(load, load.occupied() + more);
    }
    const auto wait = waitBehind(load, load.occupied() + load.heldLate + more);
    if (wait.count() == 0) {
        return wait;
    }
    if (load.demandPercent >= fullDemandPercent) {
        return std::chrono::microseconds::max();
    }
    return wait * allPercent / (allPercent - load.demandPercent);
}

}
