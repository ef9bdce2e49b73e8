#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace chicoryferry {

// What another stack needs to continue an established flow on which nothing is in flight. Sequence numbers are as on
// the wire; windows are in bytes.
struct TcpFlowState {
    std::uint32_t maximumSegmentSize { 0 };
    std::uint32_t receiveNext { 0 };
    std::uint32_t receiveWindow { 0 };
    std::uint32_t advertisedWindow { 0 };
    std::uint32_t advertisedRightEdge { 0 };
    std::uint32_t sendNext { 0 }; // all earlier bytes are acknowledged
    std::uint32_t windowUpdateSequence { 0 };
    std::uint32_t windowUpdateAcknowledgement { 0 };
    std::uint32_t sendWindow { 0 };
    std::uint32_t sendWindowMaximum { 0 };
    std::uint32_t congestionWindow { 0 };
    std::uint32_t slowStartThreshold { 0 };
    std::uint32_t windowScaling { 0 }; // 1: both sides agreed to scale windows
    std::uint32_t sendScale { 0 };
    std::uint32_t receiveScale { 0 };

    std::string unread; // bytes received but not consumed

    bool operator==(const TcpFlowState&) const = default;
};

// The numeric fields of a state in the order of the structure.
std::vector<std::uint32_t> encodeFlowState(const TcpFlowState&);

// Returns nothing when the number of values is wrong or a value is impossible for an established flow.
std::optional<TcpFlowState> decodeFlowState(std::span<const std::uint32_t> numbers, std::string unread);

}
