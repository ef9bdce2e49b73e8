#pragma once

#include "coordination/AgentLoad.h"
#include "coordination/FlowQuery.h"
#include "coordination/FlowVerdict.h"
#include "coordination/SteeringAction.h"
#include "state/FlowKey.h"
#include "state/PeerBalancers.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace chicoryferry {

namespace wire {
class SteeringHeader;
}

// An agent's admission verdict on one flow.
struct VerdictMessage {
    FlowKey flow;
    FlowVerdict verdict { FlowVerdict::Owned };
};

// An agent's report to a balancer.
struct ReportMessage {
    AgentLoad load;
    std::vector<VerdictMessage> verdicts;
    std::vector<std::uint32_t> balancers; // addresses of other balancers that the agent heard recently
};

// A balancer's periodic announcement to agents and other balancers.
struct HelloMessage {
    BalancerState state;
    std::vector<std::uint32_t> balancers; // addresses of other balancers that the sender heard recently
    std::vector<std::string> evacuatedZones; // at the revision of the state
    bool areZonesSettled { false }; // no request of an earlier era is in force in place of the store's own
};

// In a decoded SteerPacket the agent address is 0, because the agent is the receiver.
using SteeringMessage = std::variant<SteerPacket, ReportMessage, HelloMessage, FlowQuery>;

// Encodes and decodes the datagrams between balancers and agents. Reuses its buffers and is not thread-safe.
class SteeringMessages {
public:
    SteeringMessages();
    ~SteeringMessages();

    // Writes the header that precedes a steered packet. Returns its length, or 0 if it does not fit into the output.
    std::size_t encodePacketHeader(const SteerPacket&, std::span<std::uint8_t> output);

    // Return complete datagrams. A report may hold at most maximumVerdicts verdicts.
    std::vector<std::uint8_t> encode(const ReportMessage&);
    std::vector<std::uint8_t> encode(const HelloMessage&);
    std::vector<std::uint8_t> encode(const FlowQuery&);

    // Returns std::nullopt if the datagram is malformed. The datagram of a returned SteerPacket points into the
    // argument.
    std::optional<SteeringMessage> decode(std::span<const std::uint8_t> datagram);

    // Keeps a report smaller than 1,200 bytes.
    static constexpr std::size_t maximumVerdicts = 30;

private:
    std::vector<std::uint8_t> encodeHeader() const;

    std::unique_ptr<wire::SteeringHeader> header;
};

}
