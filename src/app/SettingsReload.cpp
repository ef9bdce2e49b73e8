#include "app/SettingsReload.h"

#include "app/NodeSettings.h"
#include "support/Error.h"
#include "support/EventLog.h"
#include "support/Metrics.h"

namespace chicoryferry {

SettingsReload::SettingsReload(std::string settingsPath, Reader settingsReader, const NodeSettings& settings,
    EventLog& eventLog, Metrics& processMetrics, std::function<void(const NodeSettings&)> changeHandler)
    : path(std::move(settingsPath))
    , reader(std::move(settingsReader))
    , current(std::make_unique<NodeSettings>(settings))
    , log(eventLog)
    , metrics(processMetrics)
    , onChange(std::move(changeHandler))
    , nextCheck(std::chrono::steady_clock::now() + interval)
{
}

SettingsReload::~SettingsReload() = default;

void SettingsReload::check(bool force, TimePoint now)
{
    if (!force && now < this->nextCheck) {
        return;
    }
    this->nextCheck = now + interval;
    try {
        NodeSettings next = this->reader(this->path);
        if (next == *this->current) {
            return;
        }
        *this->current = std::move(next);
        this->metrics.events("settings_reloaded").Increment();
        this->log.log(EventLog::Importance::Notable, "settings_reloaded", { { "signal", std::int64_t(force) } });
        this->onChange(*this->current);
    } catch (const Error& error) {
        this->metrics.refusals("reload settings", "bad_settings").Increment();
        this->log.log(EventLog::Importance::Notable, "settings_refused",
            { { "step", error.step() }, { "reason", error.what() } });
    }
}

}
