#include "protocol/Envelope.h"

#include "messages.pb.h"

namespace chicoryferry {

namespace {

constexpr std::size_t lengthFieldBytes = 2;

}

std::size_t encodeEnvelopeHeader(const wire::EnvelopeHeader& header, std::span<std::uint8_t> output)
{
    const std::size_t size = header.ByteSizeLong();
    if (size + lengthFieldBytes > output.size()) {
        return 0;
    }
    output[0] = static_cast<std::uint8_t>(size >> 8U);
    output[1] = static_cast<std::uint8_t>(size);
    header.SerializeWithCachedSizesToArray(output.data() + lengthFieldBytes);
    return size + lengthFieldBytes;
}

std::optional<std::span<const std::uint8_t>> decodeEnvelope(
    std::span<const std::uint8_t> datagram, wire::EnvelopeHeader& header)
{
    if (datagram.size() < lengthFieldBytes) {
        return std::nullopt;
    }
    const std::size_t size = (static_cast<std::size_t>(datagram[0]) << 8U) | datagram[1];
    if (size + lengthFieldBytes > datagram.size() || size + lengthFieldBytes > maximumEnvelopeHeaderBytes) {
        return std::nullopt;
    }
    if (!header.ParseFromArray(datagram.data() + lengthFieldBytes, static_cast<int>(size))) {
        return std::nullopt;
    }
    const int candidates = header.candidates_size();
    if (candidates < 1 || candidates > maximumCandidates
        || header.current() >= static_cast<std::uint32_t>(candidates)) {
        return std::nullopt;
    }
    return datagram.subspan(lengthFieldBytes + size);
}

}
