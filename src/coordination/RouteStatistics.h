#pragma once

#include "coordination/RequestDescription.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chicoryferry {

// Estimate of a request's run time, used for placement.
struct ExpectedRun {
    std::chrono::microseconds duration { 0 }; // mean; 0 without samples
    std::chrono::microseconds upperBound { 0 }; // few runs take longer than this
    bool isLong { false };
};

// Learns the run times of each route, and derives which routes are long compared with the service's other requests.
class RouteStatistics {
public:
    // A declared size class of the route takes precedence over the learned one.
    ExpectedRun expectedRun(const RequestDescription&) const;

    // Records the run time of a completed run.
    void runCompleted(const RequestDescription&, std::chrono::microseconds duration);

    // Median of the service's recent run times; 0 without samples.
    std::chrono::microseconds median(const std::string& service) const;

private:
    struct RouteTimes {
        double meanMicroseconds { 0 };
        double meanDeviation { 0 }; // mean absolute deviation, in microseconds
        std::size_t samples { 0 };
    };

    struct ServiceTimes {
        std::vector<std::chrono::microseconds> recent; // ring buffer of run times
        std::size_t next { 0 }; // index of the oldest entry of a full ring buffer
        std::size_t runsSinceMedian { 0 };
        std::chrono::microseconds median { 0 };
        std::map<std::pair<std::string, std::string>, RouteTimes> routes; // by method and path prefix
    };

    std::map<std::string, ServiceTimes> services;
};

}
