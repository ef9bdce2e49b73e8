#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace chicoryferry::standins {

// Splits the byte stream of a ZeroMQ connection (ZMTP 3) into its greeting, command frames and message frames.
class MessageFrames {
public:
    struct Frame {
        std::string bytes; // as sent on the connection
        std::string from; // sender of a PeerMessage
        std::string kind; // body field of a PeerMessage; empty for the greeting and for commands
    };

    void append(const char* data, std::size_t length) { this->pending.append(data, length); }

    // Returns the next complete frame, or the part of the greeting that has arrived.
    std::optional<Frame> next();

private:
    static constexpr std::size_t greetingBytes = 64;

    std::string pending;
    std::size_t greetingLeft { greetingBytes };
};

}
