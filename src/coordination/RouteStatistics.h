#pragma once

#include "coordination/RequestDescription.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace chicoryferry {

// What placement expects of a request's run.
struct ExpectedRun {
    std::chrono::microseconds duration { 0 }; // mean; 0 while nothing is known
    std::chrono::microseconds upperBound { 0 }; // exceeded by few runs
    bool isLong { false };
};

// Run times learned for each route, and from them which routes are long compared with the service's other requests.
class RouteStatistics {
public:
    // The size class of the route decides when it is declared.
    ExpectedRun expectedRun(const RequestDescription&) const;

    // A run that completed.
    void runCompleted(const RequestDescription&, std::chrono::microseconds duration);

    // Median of the service's recent run times; 0 while nothing is known.
    std::chrono::microseconds median(const std::string& service) const;

private:
    struct RouteTimes {
        double meanMicroseconds { 0 };
        double meanDeviation { 0 }; // absolute, in microseconds
        std::size_t samples { 0 };
    };

    struct ServiceTimes {
        std::vector<std::chrono::microseconds> recent; // ring
        std::size_t next { 0 };
        std::size_t sinceMedian { 0 };
        std::chrono::microseconds median { 0 };
        std::map<std::pair<std::string, std::string>, RouteTimes> routes; // by method and path prefix
    };

    std::map<std::string, ServiceTimes> services;
};

}
