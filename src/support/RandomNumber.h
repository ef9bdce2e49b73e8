#pragma once

#include <cstdint>

namespace chicoryferry {

// Drawn from the system's source of random numbers, so that two processes do not draw the same one.
std::uint64_t drawRandomNumber();

}
