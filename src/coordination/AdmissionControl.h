#pragma once

#include "coordination/RequestDescription.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace chicoryferry {

// The reason for refusing a request on arrival, and when the caller may retry.
struct EarlyRefusal {
    std::string reason;
    std::chrono::milliseconds retryAfter { 0 };
};

// Decides on arrival whether a request can be answered within its deadline. Short and long requests have separate
// queues because long ones may not use every slot. The expected wait is the queue length divided by the rate at which
// requests of the class have been starting.
class AdmissionControl {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Sets the number of slots of the local host, from which a lower bound of the start rate is computed. The bound
    // applies as long as no higher rate has been measured.
    void setSlots(unsigned count) { this->slots = count; }

    // Returns nullopt when the request may wait.
    std::optional<EarlyRefusal> refusal(
        TimePoint, const RequestDescription&, std::chrono::microseconds expectedRun, bool isLong) const;

    void waitBegan(TimePoint, const RequestDescription&, bool isLong);

    // `started` is false when the request was refused or its caller disconnected.
    void waitEnded(TimePoint, const RequestDescription&, bool isLong, bool started);

    // Expected time from now until a newly arrived request of the class starts.
    std::chrono::microseconds expectedWait(TimePoint, std::chrono::microseconds expectedRun, bool isLong) const;

    std::size_t waitingCount() const { return this->queues[0].waiting + this->queues[1].waiting; }

private:
    struct Queue {
        std::size_t waiting { 0 };
        double startsPerSecond { 0 }; // exponentially decaying mean
        TimePoint measured; // time at which startsPerSecond was updated
        double meanRunSeconds { 0 };
    };

    double startRate(TimePoint, const Queue&, bool isLong) const;
    static double decay(TimePoint, const Queue&);

    unsigned slots { 1 };
    Queue queues[2]; // short, long
    std::map<std::uint32_t, std::size_t> waitingByCaller; // by IPv4 address
};

}
