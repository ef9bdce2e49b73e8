#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace chicoryferry {

namespace wire {
class EnvelopeHeader;
}

// Upper bound on the size of an encoded header including its length field, with the maximum number of candidates.
inline constexpr std::size_t maximumEnvelopeHeaderBytes = 256;

// The maximum number of candidates in one envelope.
inline constexpr int maximumCandidates = 8;

// Writes the length field and the header. Returns the number of bytes written, or 0 if they do not fit.
std::size_t encodeEnvelopeHeader(const wire::EnvelopeHeader&, std::span<std::uint8_t> output);

// Parses the header of a datagram into `header` and returns the packet that follows. Returns nothing unless the
// datagram is an envelope with 1 to maximumCandidates candidates and a valid index of the current one.
std::optional<std::span<const std::uint8_t>> decodeEnvelope(
    std::span<const std::uint8_t> datagram, wire::EnvelopeHeader& header);

}
