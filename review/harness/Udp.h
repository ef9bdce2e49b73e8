#pragma once

#include "Wire.h"

#include <chrono>
#include <optional>

namespace review {

// A bound UDP socket.
class Udp {
public:
    // Throws std::runtime_error if the address cannot be bound.
    explicit Udp(const Address&);
    ~Udp();
    Udp(const Udp&) = delete;
    Udp& operator=(const Udp&) = delete;

    void send(const Address& to, const Bytes&) const;

    // Returns the next datagram, or nothing after the timeout. Stores the address of its sender.
    std::optional<Bytes> receive(std::chrono::milliseconds timeout, Address& from) const;

private:
    int descriptor { -1 };
};

}
