#pragma once

#include "Packet.h"

#include <chrono>
#include <functional>
#include <map>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// Descriptors and timers of the one thread in which all stand-ins run.
class Loop {
public:
    void watch(int descriptor, std::function<void()> readable);
    void forget(int descriptor);
    void after(milliseconds delay, std::function<void()> task);
    void runFor(milliseconds duration);
    // Runs until the condition holds; returns whether it did within the limit.
    bool runUntil(const std::function<bool()>& condition, milliseconds limit);

private:
    void step(milliseconds longest);

    std::map<int, std::function<void()>> readers;
    std::multimap<Clock::time_point, std::function<void()>> timers;
};

// Throw std::runtime_error if the address cannot be bound.
int openUdp(const Address&);
int openListener(const Address&);

void sendUdp(int socket, const Address& to, const Packet&);
// The next packet; nothing if none is waiting. Bytes that are no packet are skipped.
std::optional<Packet> receiveUdp(int socket);

}
