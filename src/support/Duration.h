#pragma once

#include <chrono>
#include <string_view>

namespace chicoryferry {

// Parses "250ms", "5s", "10m" or "8h". Throws UserError otherwise.
std::chrono::milliseconds parseDuration(std::string_view);

}
