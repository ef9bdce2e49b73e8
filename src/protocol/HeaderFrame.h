#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace google::protobuf {
class MessageLite;
}

namespace chicoryferry {

// Framing of a datagram: a two-byte big-endian length, a protobuf message of that length as the header, then the
// payload.

// Writes length and header. Returns the number of bytes written, or 0 if they do not fit.
std::size_t encodeHeaderFrame(const google::protobuf::MessageLite& header, std::span<std::uint8_t> output);

// Parses the header and returns the payload. Returns nothing if the datagram does not start with a valid header of at
// most maximumBytes, length field included.
std::optional<std::span<const std::uint8_t>> decodeHeaderFrame(
    std::span<const std::uint8_t> datagram, std::size_t maximumBytes, google::protobuf::MessageLite& header);

}
