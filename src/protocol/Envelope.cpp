#include "protocol/Envelope.h"

#include "messages.pb.h"
#include "protocol/HeaderFrame.h"

namespace chicoryferry {

std::size_t encodeEnvelopeHeader(const wire::EnvelopeHeader& header, std::span<std::uint8_t> output)
{
    return encodeHeaderFrame(header, output);
}

std::optional<std::span<const std::uint8_t>> decodeEnvelope(
    std::span<const std::uint8_t> datagram, wire::EnvelopeHeader& header)
{
    const auto packet = decodeHeaderFrame(datagram, maximumEnvelopeHeaderBytes, header);
    if (!packet) {
        return std::nullopt;
    }
    const int candidates = header.candidates_size();
    if (candidates < 1 || candidates > maximumCandidates
        || header.current() >= static_cast<std::uint32_t>(candidates)) {
        return std::nullopt;
    }
    return packet;
}

}
