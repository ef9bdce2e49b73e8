#pragma once

#include <chrono>
#include <cstddef>

namespace chicoryferry {

// Limits the questions and packets of searches that go to every agent to a share of the balancer's link, so that they
// do not delay packets of flows whose owner is known. Answers the load of many flows that no agent holds, for example
// after all backend servers have been lost.
class SearchBudget {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // bytesPerSecond: capacity of the balancer's link.
    explicit SearchBudget(double bytesPerSecond);

    // Takes the cost of asking the agents and of their answers. Returns false if it exceeds what is left.
    bool take(std::size_t agents, TimePoint now);

    // The same for packets on trial.
    bool takeBytes(double bytes, TimePoint now);

private:
    double rate; // bytes a second that searches may use
    double available; // bytes
    TimePoint updatedAt;
};

}
