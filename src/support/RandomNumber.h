#pragma once

#include <cstdint>

namespace chicoryferry {

// Returns a number from the system's random source, so that two processes do not draw the same one.
std::uint64_t drawRandomNumber();

}
