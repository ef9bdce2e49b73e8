#include "FuzzTarget.h"

#include "protocol/PacketView.h"

#include <cstdlib>

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const auto parsed = chicoryferry::parsePacket({ data, size });
    if (const auto* packet = std::get_if<chicoryferry::PacketView>(&parsed)) {
        // A parsed packet must span the whole datagram.
        if (packet->bytes.size() != size || packet->payloadLength > size) {
            std::abort();
        }
    }
    return 0;
}
