#pragma once

#include <string_view>

namespace chicoryferry {

// Severities in ascending order.
enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// Parses "debug", "info", "warning" or "error". Throws UserError otherwise.
LogLevel parseLogLevel(std::string_view);

std::string_view logLevelName(LogLevel);

}
