#pragma once

#include <chrono>
#include <cstdint>

namespace chicoryferry {

// The transmissions of a flow's first packet that arrived at this balancer. The routers may deliver each transmission
// to another balancer, which may have placed the flow.
class FirstPacketTransmissions {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // number: how often the caller had sent the packet before.
    void record(std::uint32_t number, TimePoint now);

    // Whether every transmission that the caller has sent by now has arrived here.
    bool isComplete(TimePoint now) const;

    // Time since the caller sent the packet first.
    std::chrono::milliseconds age(TimePoint now) const;

    // Numbers of the first and the last transmission that arrived here.
    std::uint32_t first() const { return this->firstNumber; }
    std::uint32_t last() const { return this->lastNumber; }

    // Time between the caller's first transmission and the one with this number.
    static std::chrono::milliseconds ageOf(std::uint32_t number);

private:
    TimePoint sentAt; // estimated time of the caller's first transmission
    std::uint32_t firstNumber { 0 };
    std::uint32_t lastNumber { 0 };
    bool recorded { false };
    bool missed { false }; // a transmission before lastNumber did not arrive here
};

}
