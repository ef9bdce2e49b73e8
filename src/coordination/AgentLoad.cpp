#include "coordination/AgentLoad.h"

#include <algorithm>

namespace chicoryferry {

namespace {

// Expected remaining time of a long request in multiples of the mean: it runs for about seven times the mean according
// to the users' site files, and about half of that remains when it is recognised as long.
constexpr int longRequestRemainingMeans = 3;

// From this demand on, practically all slots are taken by in-time flows, and a late flow would only delay them.
constexpr std::uint32_t saturatedDemandPercent = 70;
constexpr std::uint32_t hundredPercent = 100;

std::chrono::microseconds expectedQueueingTime(const AgentLoad& load, std::uint32_t occupied)
{
    const auto work = load.meanWork.count() > 0 ? load.meanWork : defaultMeanWork;
    const std::uint32_t slots = std::max(1U, load.slots);
    if (occupied < slots) {
        return std::chrono::microseconds(0);
    }
    const std::uint32_t longRunningSlots = std::min(load.longRunning, slots);
    if (longRunningSlots == slots) {
        return work * (longRequestRemainingMeans + (occupied - slots) / slots);
    }
    // The requests on the other slots are half finished on average.
    const std::uint32_t otherSlots = slots - longRunningSlots;
    return work * (2 * (occupied - slots) + 1) / (2 * otherSlots);
}

}

std::chrono::microseconds expectedWait(const AgentLoad& load, std::uint32_t more, FlowUrgency urgency)
{
    const std::chrono::microseconds startWait = load.startWait;
    if (urgency == FlowUrgency::InTime) {
        return std::max(startWait, expectedQueueingTime(load, load.occupied() + more));
    }
    const auto wait = std::max(startWait, expectedQueueingTime(load, load.occupied() + load.heldLate + more));
    if (wait.count() == 0) {
        return wait;
    }
    if (load.demandPercent >= saturatedDemandPercent) {
        return std::chrono::microseconds::max();
    }
    return wait * hundredPercent / (hundredPercent - load.demandPercent);
}

}
