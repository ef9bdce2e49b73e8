#include "MessageFrames.h"

#include <cstdint>
#include <messages.pb.h>

namespace chicoryferry::standins {

namespace {

constexpr unsigned longFlag = 0x02;
constexpr unsigned commandFlag = 0x04;

std::uint64_t readLength(const std::string& bytes, std::size_t offset, std::size_t count)
{
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < count; ++index) {
        value = value << 8U | static_cast<std::uint8_t>(bytes[offset + index]);
    }
    return value;
}

void readSenderAndKind(MessageFrames::Frame& frame, const char* payload, std::size_t length)
{
    wire::PeerMessage message;
    if (!message.ParseFromArray(payload, static_cast<int>(length))) {
        return;
    }
    frame.from = message.sender().instance();
    const google::protobuf::OneofDescriptor* body = message.GetDescriptor()->FindOneofByName("body");
    const google::protobuf::FieldDescriptor* field = message.GetReflection()->GetOneofFieldDescriptor(message, body);
    frame.kind = field == nullptr ? "" : field->name();
}

}

std::optional<MessageFrames::Frame> MessageFrames::next()
{
    Frame frame;
    if (this->greetingLeft > 0) {
        // Forwarded as it arrives, because each side waits for the first bytes of the other before it sends the rest.
        frame.bytes = this->pending.substr(0, this->greetingLeft);
        this->greetingLeft -= frame.bytes.size();
        this->pending.erase(0, frame.bytes.size());
        return frame.bytes.empty() ? std::nullopt : std::optional<Frame>(frame);
    }
    if (this->pending.size() < 2) {
        return std::nullopt;
    }
    const unsigned flags = static_cast<std::uint8_t>(this->pending[0]);
    const std::size_t lengthBytes = (flags & longFlag) != 0 ? 8 : 1;
    if (this->pending.size() < 1 + lengthBytes) {
        return std::nullopt;
    }
    const std::uint64_t length = readLength(this->pending, 1, lengthBytes);
    const std::size_t total = 1 + lengthBytes + length;
    if (this->pending.size() < total) {
        return std::nullopt;
    }
    frame.bytes = this->pending.substr(0, total);
    this->pending.erase(0, total);
    if ((flags & commandFlag) == 0) {
        readSenderAndKind(frame, frame.bytes.data() + 1 + lengthBytes, length);
    }
    return frame;
}

}
