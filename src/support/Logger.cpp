#include "support/Logger.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace chicoryferry {

Logger::Logger(LogLevel minimumLevel, std::string instanceName)
    : minimum(minimumLevel)
    , instance(std::move(instanceName))
{
}

void Logger::log(
    LogLevel level, std::string_view event, std::string_view step, std::string_view peer, const nlohmann::json& fields)
{
    if (level < this->minimum) {
        return;
    }
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto millis = now.time_since_epoch().count() % 1000;
    nlohmann::ordered_json line;
    line["time"]
        = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(now)), millis);
    line["level"] = logLevelName(level);
    line["event"] = event;
    line["instance"] = this->instance;
    line["step"] = step;
    if (!peer.empty()) {
        line["peer"] = peer;
    }
    for (const auto& [key, value] : fields.items()) {
        line[key] = value;
    }
    const std::string text = line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    const std::lock_guard lock(this->mutex);
    fmt::print(stderr, "{}\n", text);
}

void Logger::debug(std::string_view event, std::string_view step, std::string_view peer)
{
    this->log(LogLevel::Debug, event, step, peer, nlohmann::json::object());
}

void Logger::info(std::string_view event, std::string_view step, std::string_view peer)
{
    this->log(LogLevel::Info, event, step, peer, nlohmann::json::object());
}

void Logger::warning(std::string_view event, std::string_view step, std::string_view peer)
{
    this->log(LogLevel::Warning, event, step, peer, nlohmann::json::object());
}

}
