#pragma once

#include <chrono>

namespace chicoryferry {

// Counts while the machine is suspended, unlike the steady clock.
std::chrono::nanoseconds timeSinceBoot();

}
