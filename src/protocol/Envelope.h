#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace chicoryferry {

namespace wire {
class EnvelopeHeader;
}

// Upper bound of an encoded header with its length field, for the largest number of candidates.
inline constexpr std::size_t maximumEnvelopeHeaderBytes = 256;

// The most candidates that one envelope carries.
inline constexpr int maximumCandidates = 8;

// Writes the length field and the header. Returns the bytes written, or 0 when the header does not fit.
std::size_t encodeEnvelopeHeader(const wire::EnvelopeHeader&, std::span<std::uint8_t> output);

// Parses the header of a datagram into `header` and returns the packet that follows. Returns nothing when the datagram
// is not an envelope with 1 to maximumCandidates candidates and a valid index of the addressed one.
std::optional<std::span<const std::uint8_t>> decodeEnvelope(
    std::span<const std::uint8_t> datagram, wire::EnvelopeHeader& header);

}
