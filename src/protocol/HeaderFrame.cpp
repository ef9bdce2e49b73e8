#include "protocol/HeaderFrame.h"

#include <google/protobuf/message_lite.h>

namespace chicoryferry {

namespace {

constexpr std::size_t lengthFieldBytes = 2;
constexpr std::size_t maximumLength = 0xFFFF;

}

std::size_t encodeHeaderFrame(const google::protobuf::MessageLite& header, std::span<std::uint8_t> output)
{
    const std::size_t size = header.ByteSizeLong();
    if (size > maximumLength || size + lengthFieldBytes > output.size()) {
        return 0;
    }
    output[0] = static_cast<std::uint8_t>(size >> 8U);
    output[1] = static_cast<std::uint8_t>(size);
    header.SerializeWithCachedSizesToArray(output.data() + lengthFieldBytes);
    return size + lengthFieldBytes;
}

std::optional<std::span<const std::uint8_t>> decodeHeaderFrame(
    std::span<const std::uint8_t> datagram, std::size_t maximumBytes, google::protobuf::MessageLite& header)
{
    if (datagram.size() < lengthFieldBytes) {
        return std::nullopt;
    }
    const std::size_t size = (static_cast<std::size_t>(datagram[0]) << 8U) | datagram[1];
    if (size + lengthFieldBytes > datagram.size() || size + lengthFieldBytes > maximumBytes) {
        return std::nullopt;
    }
    if (!header.ParseFromArray(datagram.data() + lengthFieldBytes, static_cast<int>(size))) {
        return std::nullopt;
    }
    return datagram.subspan(lengthFieldBytes + size);
}

}
