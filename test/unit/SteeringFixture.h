#pragma once

#include "coordination/FlowPlacement.h"
#include "coordination/FlowSteering.h"
#include "state/HostDirectory.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string>
#include <vector>

namespace chicoryferry {

// The flow steering of a balancer with one service and a number of agents. Records the actions of the last call. Times
// are relative to the arrival of the first packet.
class SteeringFixture {
public:
    using Milliseconds = std::chrono::milliseconds;

    static constexpr Endpoint caller { 0x64400007, 40001 };
    static constexpr Endpoint route { 0xC6120001, 443 };
    static constexpr FlowKey flow { caller, route };

    explicit SteeringFixture(std::uint32_t agentCount = 2, Milliseconds timeout = Milliseconds(1000))
    {
        this->applyRoutes(1, { { route, { "job", true, Milliseconds(100), timeout, 1 } } });
        std::vector<FlowPlacement::Agent> agents;
        for (std::uint32_t number = 1; number <= agentCount; ++number) {
            const Endpoint address { number, 7000 };
            agents.push_back(
                { address, { std::to_string(number), "job", address, "zone", 2, false, {}, 0 }, this->start });
        }
        this->placement.setAgents(agents, this->start);
    }

    void applyRoutes(std::uint64_t version, const std::map<Endpoint, FlowRoute>& routes)
    {
        RouteTable table;
        table.version = version;
        table.routes.insert(routes.begin(), routes.end());
        this->directory.apply(RouteTableWritten { table }, this->start);
    }

    // copy: number of earlier transmissions.
    void sendFirst(std::uint32_t copy = 0, Milliseconds after = {}, const FlowKey& key = flow)
    {
        FlowPacket packet = packetOf(key);
        packet.opens = true;
        packet.acknowledgement = copy;
        this->handle(packet, after);
    }

    // A packet with which the caller accepts a backend server's answer, or a later one.
    void sendLater(Milliseconds after = {}, const FlowKey& key = flow)
    {
        FlowPacket packet = packetOf(key);
        packet.acknowledges = true;
        this->handle(packet, after);
    }

    void receiveVerdict(const Endpoint& agent, FlowVerdict verdict, Milliseconds after)
    {
        this->actions.clear();
        this->steering.handleVerdict(agent, flow, verdict, this->start + after, this->actions);
    }

    void tick(Milliseconds after)
    {
        this->actions.clear();
        this->steering.tick(this->start + after, this->actions);
    }

    // Agents that the last call asked for the owner of the flow.
    std::vector<Endpoint> queried() const
    {
        std::vector<Endpoint> agents;
        for (const SteeringAction& action : this->actions) {
            if (const auto* question = std::get_if<AskAgents>(&action)) {
                agents.insert(agents.end(), question->agents.begin(), question->agents.end());
            }
        }
        std::sort(agents.begin(), agents.end());
        return agents;
    }

    // Purposes for which the last call sent packets.
    std::vector<SteeringPurpose> purposes() const
    {
        std::vector<SteeringPurpose> found;
        for (const SteeringAction& action : this->actions) {
            if (const auto* packet = std::get_if<SteerPacket>(&action)) {
                found.push_back(packet->purpose);
            }
        }
        return found;
    }

    // Agents to which the last call sent the packet.
    std::vector<Endpoint> asked() const
    {
        std::vector<Endpoint> agents;
        for (const SteeringAction& action : this->actions) {
            if (const auto* packet = std::get_if<SteerPacket>(&action)) {
                agents.push_back(packet->agent);
            }
        }
        return agents;
    }

    // Lets each agent that is offered the flow refuse it because it is full, until no further agent is asked.
    void refuseEverywhere(Milliseconds after)
    {
        while (!this->asked().empty()) {
            this->receiveVerdict(this->asked().back(), FlowVerdict::RefusedFull, after);
        }
    }

    bool resets() const
    {
        return std::any_of(this->actions.begin(), this->actions.end(),
            [](const SteeringAction& action) { return std::holds_alternative<SendReset>(action); });
    }

    const FlowSteering::TimePoint start { std::chrono::hours(1) };
    HostDirectory directory;
    FlowPlacement placement { "zone", 1 };
    FlowSteering steering { this->directory, this->placement, 1'250'000 };
    std::vector<SteeringAction> actions;

private:
    static FlowPacket packetOf(const FlowKey& key)
    {
        FlowPacket packet;
        packet.source = key.caller;
        packet.destination = key.service;
        return packet;
    }

    void handle(const FlowPacket& packet, Milliseconds after)
    {
        static constexpr std::array<std::uint8_t, 4> bytes { 1, 2, 3, 4 };
        this->actions.clear();
        this->steering.handlePacket(packet, bytes, this->start + after, this->actions);
    }
};

}
