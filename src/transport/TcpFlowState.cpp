#include "transport/TcpFlowState.h"

#include <array>

namespace chicoryferry {

namespace {

using Field = std::uint32_t TcpFlowState::*;

constexpr std::array<Field, 15> fields { &TcpFlowState::maximumSegmentSize, &TcpFlowState::receiveNext,
    &TcpFlowState::receiveWindow, &TcpFlowState::advertisedWindow, &TcpFlowState::advertisedRightEdge,
    &TcpFlowState::sendNext, &TcpFlowState::windowUpdateSequence, &TcpFlowState::windowUpdateAcknowledgement,
    &TcpFlowState::sendWindow, &TcpFlowState::sendWindowMaximum, &TcpFlowState::congestionWindow,
    &TcpFlowState::slowStartThreshold, &TcpFlowState::windowScaling, &TcpFlowState::sendScale,
    &TcpFlowState::receiveScale };

constexpr std::uint32_t largestSegment = 1460;
constexpr std::uint32_t largestScale = 14; // RFC 7323, 2.3
constexpr std::uint32_t largestWindow = 0xFFFFU << largestScale;
constexpr std::uint32_t receiveBuffer = 0xFFFF; // TCP_WND of the lwIP library

}

std::vector<std::uint32_t> encodeFlowState(const TcpFlowState& state)
{
    std::vector<std::uint32_t> numbers;
    numbers.reserve(fields.size());
    for (const Field field : fields) {
        numbers.push_back(state.*field);
    }
    return numbers;
}

std::optional<TcpFlowState> decodeFlowState(std::span<const std::uint32_t> numbers, std::string unread)
{
    if (numbers.size() != fields.size()) {
        return std::nullopt;
    }
    TcpFlowState state;
    for (std::size_t index = 0; index < fields.size(); ++index) {
        state.*fields[index] = numbers[index];
    }
    state.unread = std::move(unread);
    const bool segmentValid = state.maximumSegmentSize > 0 && state.maximumSegmentSize <= largestSegment;
    const bool scalesValid
        = state.windowScaling <= 1 && state.sendScale <= largestScale && state.receiveScale <= largestScale;
    const bool windowsValid = state.sendWindow <= largestWindow && state.sendWindowMaximum <= largestWindow
        && state.receiveWindow <= receiveBuffer && state.advertisedWindow <= receiveBuffer
        && state.unread.size() + state.receiveWindow <= receiveBuffer;
    if (!segmentValid || !scalesValid || !windowsValid) {
        return std::nullopt;
    }
    return state;
}

}
