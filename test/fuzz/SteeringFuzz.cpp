#include "FuzzTarget.h"

#include "app/DirectorySnapshot.h"
#include "app/SteeringMessages.h"
#include "platform/FlowPayload.h"
#include "platform/PacketFormat.h"

#include <cstdlib>
#include <string>

using namespace chicoryferry;

// Decodes steering messages, packets and directory snapshots as received from peers.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::span<const std::uint8_t> bytes(data, size);
    SteeringMessages messages;
    if (const auto message = messages.decode(bytes)) {
        if (const auto* report = std::get_if<ReportMessage>(&*message)) {
            if (report->load.slots == 0) {
                std::abort(); // expectedWait() would divide by zero
            }
            expectedWait(report->load, 1, FlowUrgency::Late);
        }
    }
    if (const auto packet = platform::decodePacket(bytes)) {
        platform::parseRequestMetadata(packet->payload);
        platform::parseAnswerMetadata(packet->payload);
        if (packet->payload.size() + platform::packetHeaderBytes != size) {
            std::abort();
        }
    }
    decodeSnapshot(std::string(reinterpret_cast<const char*>(data), size));
    return 0;
}
