#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace chicoryferry {

struct NodeSettings;
class EventLog;
class Metrics;

// Reads the settings file again when it may have changed, with or without a signal.
class SettingsReload {
public:
    using TimePoint = std::chrono::steady_clock::time_point;
    using Reader = std::function<NodeSettings(const std::string& path)>;

    // onChange gets settings that differ from those before. A file that cannot be used leaves them in force.
    SettingsReload(std::string path, Reader, const NodeSettings& current, EventLog&, Metrics&,
        std::function<void(const NodeSettings&)> onChange);
    ~SettingsReload();

    // Reads the file when the interval has passed, or at once when it is forced.
    void check(bool force, TimePoint now);

    // The file may change without a signal; an address that passes to another service does so after 2 s at the
    // earliest.
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
