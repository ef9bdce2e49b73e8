#pragma once

#include <chrono>
#include <cstddef>

namespace chicoryferry {

// Interval at which a balancer announces itself to each of its agents, which answer with their load. It grows with the
// number of agents, so that the announcements and answers of a balancer have a bounded rate up to a fleet of 256
// agents; beyond, the interval stays at its upper bound. Answers the load of a large fleet, where announcements at a
// fixed interval grow with balancers times agents.
std::chrono::milliseconds agentHelloInterval(std::size_t agents);

// Age from which a load counts as unknown: three answers in a row are missing.
std::chrono::milliseconds loadReportLifetime(std::size_t agents);

}
