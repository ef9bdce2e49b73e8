#pragma once

#include <chrono>
#include <span>

namespace chicoryferry {

// What a balancer knows of one of the agents that it compares for a new flow.
struct CandidateLoad {
    bool known { false }; // a load report is available
    std::chrono::nanoseconds age { 0 }; // of the report; 0 if the agent reports each change at once
    std::chrono::microseconds meanWork { 0 }; // mean time that a request occupies a slot
    std::chrono::microseconds wait { 0 }; // expected for a slot; interpretLoads() moves it by the age of the report
    double costMs { 0 }; // of the load in the report; interpretLoads() sets the expected cost
};

// Derives the expected costs of the candidates from their reports. Requests end and others begin, so that a report says
// less with age: its cost moves towards the mean of the candidates, with the time that a request takes as time
// constant. With age 0 the least loaded candidate is preferred; with great age the candidates differ only in the time
// that they take for a request. Answers the load of many balancers that choose at the same moment from reports that are
// a little old.
void interpretLoads(std::span<CandidateLoad>);

}
