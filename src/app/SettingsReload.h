#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace chicoryferry {

struct NodeSettings;
class EventLog;
class Metrics;

// Reloads the settings file, periodically or on a signal, and reports changed settings.
class SettingsReload {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Reader = std::function<NodeSettings(const std::string& path)>;

    // onChange is called with settings that differ from the previous ones. An invalid file leaves the previous settings
    // in force.
    SettingsReload(std::string path, Reader, const NodeSettings& current, EventLog&, Metrics&,
        std::function<void(const NodeSettings&)> onChange);
    ~SettingsReload();

    // Reads the file if the interval has passed or `force` is set.
    void check(bool force, TimePoint now);

    // The file may change without a signal, so it is polled. An address is reassigned to another service after 2 s at
    // the earliest, so this interval is short enough to notice it in time.
    static constexpr std::chrono::milliseconds interval { 1000 };

private:
    std::string path;
    Reader reader;
    std::unique_ptr<NodeSettings> current;
    EventLog& log;
    Metrics& metrics;
    std::function<void(const NodeSettings&)> onChange;
    TimePoint nextCheck;
};

}
