#pragma once

#include <chrono>
#include <cstddef>

namespace chicoryferry::standins {

// Behavior of a backend server; can be changed at run time through its control interface.
struct BackendSettings {
    std::size_t slots { 2 };
    std::size_t queueLimit { 64 }; // requests that wait for a slot
    bool draining { false };
    double shedding { 0 }; // fraction of the requests that are answered with 503
    bool frozen { false }; // accepts requests and never answers them
    double speed { 1 }; // run times are divided by this
    double coldFactor { 1 }; // run times are multiplied by this until the server is warm
    std::chrono::steady_clock::time_point warmAt;
    double falseLoad { -1 }; // reported in place of the measured load; negative: report the measured load
    std::chrono::milliseconds loadLag { 0 }; // age of the measured load that is reported
};

}
