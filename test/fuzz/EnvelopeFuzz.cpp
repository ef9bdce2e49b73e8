#include "FuzzTarget.h"

#include "messages.pb.h"
#include "protocol/Envelope.h"

#include <array>
#include <cstdlib>

int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    chicoryferry::wire::EnvelopeHeader header;
    const auto packet = chicoryferry::decodeEnvelope({ data, size }, header);
    if (!packet) {
        return 0;
    }
    // Protobuf keeps unknown fields, so a decoded header can be too large to encode again; encodeEnvelopeHeader() must
    // detect this and never write past the buffer.
    std::array<std::uint8_t, chicoryferry::maximumEnvelopeHeaderBytes> encoded {};
    const std::size_t length = chicoryferry::encodeEnvelopeHeader(header, encoded);
    if (packet->size() > size || length > encoded.size()) {
        std::abort();
    }
    return 0;
}
