#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace google::protobuf {
class MessageLite;
}

namespace chicoryferry {

// A datagram's header: a big-endian length of two bytes and a protobuf message; the payload follows.

// Writes length and header. Returns the bytes written, or 0 when they do not fit.
std::size_t encodeHeaderFrame(const google::protobuf::MessageLite& header, std::span<std::uint8_t> output);

// Parses the header, of at most maximumBytes with its length field, and returns the payload. Returns nothing when the
// datagram does not begin with such a header.
std::optional<std::span<const std::uint8_t>> decodeHeaderFrame(
    std::span<const std::uint8_t> datagram, std::size_t maximumBytes, google::protobuf::MessageLite& header);

}
