#pragma once

#include "coordination/AgentLoad.h"
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

// A verdict on one flow.
struct VerdictMessage {
    FlowKey flow;
    FlowVerdict verdict { FlowVerdict::Owned };
};

// An agent's report.
struct ReportMessage {
    AgentLoad load;
    std::vector<VerdictMessage> verdicts;
    std::vector<std::uint32_t> balancers; // addresses of balancers heard of lately
};

// A balancer's greeting.
struct HelloMessage {
    BalancerState state;
    std::vector<std::uint32_t> balancers; // addresses of others heard of lately
};

// SteerPacket with an agent address of 0: the agent is the receiver.
using SteeringMessage = std::variant<SteerPacket, ReportMessage, HelloMessage>;

// Encodes and decodes the datagrams between balancers and agents. Reuses its buffers; one thread.
class SteeringMessages {
public:
    SteeringMessages();
    ~SteeringMessages();

    // Writes the header that precedes the packet. Returns its length, or 0 when it does not fit.
    std::size_t encodeHead(const SteerPacket&, std::span<std::uint8_t> output);

    // Whole datagrams. A report takes at most mostVerdicts.
    std::vector<std::uint8_t> encode(const ReportMessage&);
    std::vector<std::uint8_t> encode(const HelloMessage&);

    // Returns nothing when the datagram is not a message. The datagram of a SteerPacket refers to the argument.
    std::optional<SteeringMessage> decode(std::span<const std::uint8_t> datagram);

    // Keeps a report below 1,200 bytes.
    static constexpr std::size_t mostVerdicts = 30;

private:
    std::vector<std::uint8_t> encodeHeader() const;

    std::unique_ptr<wire::SteeringHeader> header;
};

}
