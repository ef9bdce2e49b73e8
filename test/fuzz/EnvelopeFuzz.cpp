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
    // Unknown fields are kept, so that a decoded header can exceed the room for an encoded one, but never by surprise.
    std::array<std::uint8_t, chicoryferry::maximumEnvelopeHeaderBytes> encoded {};
    const std::size_t length = chicoryferry::encodeEnvelopeHeader(header, encoded);
    if (packet->size() > size || length > encoded.size()) {
        std::abort();
    }
    return 0;
}
