#pragma once

#include "coordination/RequestDescription.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace chicoryferry {

// Why a request is refused on arrival, and when the caller may try again.
struct EarlyRefusal {
    std::string reason;
    std::chrono::milliseconds retryAfter { 0 };
};

// Decides on arrival whether a request can be answered in time. Short and long requests queue apart, because long ones
// may not use every slot. The expected wait is the queue divided by the rate at which requests of the class started.
class AdmissionControl {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // slots: of the own host. They bound the expected start rate from below while no rate was measured.
    void setSlots(unsigned count) { this->slots = count; }

    // Null when the request may wait.
    std::optional<EarlyRefusal> refusal(
        TimePoint, const RequestDescription&, std::chrono::microseconds expectedRun, bool isLong) const;

    void waitBegan(TimePoint, const RequestDescription&, bool isLong);

    // started: false when the request was refused or its caller is gone.
    void waitEnded(TimePoint, const RequestDescription&, bool isLong, bool started);

    // Expected time until a request of the class that arrives now starts.
    std::chrono::microseconds expectedWait(TimePoint, std::chrono::microseconds expectedRun, bool isLong) const;

    std::size_t waitingCount() const { return this->queues[0].waiting + this->queues[1].waiting; }

private:
    struct Queue {
        std::size_t waiting { 0 };
        double startsPerSecond { 0 }; // decaying mean
        TimePoint measured; // time of startsPerSecond
        double meanRunSeconds { 0 };
    };

    double startRate(TimePoint, const Queue&, bool isLong) const;
    static double decay(TimePoint, const Queue&);

    unsigned slots { 1 };
    Queue queues[2]; // short, long
    std::map<std::uint32_t, std::size_t> waitingByCaller; // by IPv4 address
};

}
