#include "state/HostFlows.h"

#include <algorithm>

namespace chicoryferry {

namespace {

// Callers abandon a new flow 1.4 s after its first packet.
constexpr std::chrono::milliseconds unansweredTimeout { 1500 };

// A backend server repeats its answer to a first packet at intervals of up to 1.6 s until the caller accepts it. Three
// intervals allow for the loss of two repetitions.
constexpr std::chrono::milliseconds unopenedTimeout { 5000 };

// Closed flows are kept this long for packets that are retransmitted after both ends have finished.
constexpr std::chrono::milliseconds closedRetention { 2000 };

// A flow that has opened may stay open without a packet, also before its first request.
std::chrono::milliseconds timeout(const HostFlow& flow, std::chrono::milliseconds idleLimit)
{
    if (flow.phase == HostFlowPhase::Closed) {
        return closedRetention;
    }
    if (flow.opened) {
        return idleLimit;
    }
    return flow.hostAnswered ? unopenedTimeout : unansweredTimeout;
}

}

HostFlow& HostFlows::open(const FlowKey& key, const Endpoint& balancer, TimePoint now)
{
    this->erase(key);
    HostFlow& flow = this->flows[key];
    flow.balancer = balancer;
    flow.startedAt = now;
    flow.phaseSince = now;
    flow.lastPacket = now;
    ++this->counts[static_cast<std::size_t>(flow.phase)];
    return flow;
}

HostFlow* HostFlows::find(const FlowKey& key)
{
    const auto found = this->flows.find(key);
    return found == this->flows.end() ? nullptr : &found->second;
}

void HostFlows::erase(const FlowKey& key)
{
    const auto found = this->flows.find(key);
    if (found != this->flows.end()) {
        --this->counts[static_cast<std::size_t>(found->second.phase)];
        this->flows.erase(found);
    }
}

void HostFlows::setPhase(HostFlow& flow, HostFlowPhase phase, TimePoint now)
{
    if (flow.phase == phase) {
        return;
    }
    --this->counts[static_cast<std::size_t>(flow.phase)];
    ++this->counts[static_cast<std::size_t>(phase)];
    flow.phase = phase;
    flow.phaseSince = now;
    flow.opened = flow.opened || phase == HostFlowPhase::Idle || phase == HostFlowPhase::Working;
}

std::uint32_t HostFlows::workingLongerThan(std::chrono::microseconds limit, TimePoint now) const
{
    if (this->working() == 0) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::count_if(this->flows.begin(), this->flows.end(), [&](const auto& item) {
        return item.second.phase == HostFlowPhase::Working && now - item.second.phaseSince > limit;
    }));
}

std::vector<FlowKey> HostFlows::unanswered(std::chrono::milliseconds limit, TimePoint now) const
{
    std::vector<FlowKey> keys;
    if (this->opening() == 0) {
        return keys;
    }
    for (const auto& [key, flow] : this->flows) {
        if (flow.phase == HostFlowPhase::Opening && !flow.hostAnswered && now - flow.phaseSince > limit) {
            keys.push_back(key);
        }
    }
    return keys;
}

void HostFlows::markStalled(std::chrono::milliseconds limit, TimePoint now)
{
    if (this->opening() == 0) {
        return;
    }
    for (auto& [key, flow] : this->flows) {
        if (flow.phase == HostFlowPhase::Opening && now - flow.phaseSince > limit) {
            this->setPhase(flow, HostFlowPhase::Stalled, now);
        }
    }
}

void HostFlows::expire(std::chrono::milliseconds idleLimit, TimePoint now)
{
    std::erase_if(this->flows, [&](const auto& item) {
        const HostFlow& flow = item.second;
        const bool ended = now - flow.lastPacket > timeout(flow, idleLimit);
        if (ended) {
            --this->counts[static_cast<std::size_t>(flow.phase)];
        }
        return ended;
    });
}

std::size_t HostFlows::unfinished() const
{
    return this->flows.size() - this->counts[static_cast<std::size_t>(HostFlowPhase::Closed)];
}

}
