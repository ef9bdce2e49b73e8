#pragma once

#include "support/LogLevel.h"

#include <chrono>
#include <mutex>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace chicoryferry {

// Writes one JSON object per line to standard error: time (RFC 3339, UTC), level, event, step, peer, then the fields.
// Thread-safe. A suppressed level costs one comparison.
class Logger {
public:
    Logger(LogLevel minimum, std::string instance);

    void log(
        LogLevel, std::string_view event, std::string_view step, std::string_view peer, const nlohmann::json& fields);

    // Overloads without fields.
    void debug(std::string_view event, std::string_view step, std::string_view peer = {});
    void info(std::string_view event, std::string_view step, std::string_view peer = {});
    void warning(std::string_view event, std::string_view step, std::string_view peer = {});

private:
    LogLevel minimum;
    std::string instance;
    std::mutex mutex;
};

}
