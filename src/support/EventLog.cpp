#include "support/EventLog.h"

#include "support/Overloaded.h"

#include <cerrno>
#include <fcntl.h>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <iterator>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace chicoryferry {

namespace {

// At about 200 bytes per line, routine lines take at most 40 KB per second.
constexpr std::uint32_t routineLinesPerSecond = 200;
constexpr std::uint32_t notableLinesPerSecond = 300;

// Lines buffered while the reader is stalled; above this size further lines are suppressed.
constexpr std::size_t maximumBufferBytes = 65536;

// Buffered lines are written once they reach this size, or when the event loop has nothing else to do.
constexpr std::size_t flushBytes = 4096;

// A JSON string with its quotes; bytes that are not UTF-8 are replaced.
std::string quoted(std::string_view text)
{
    return nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

}

EventLog::EventLog(std::string_view instanceName, int outputDescriptor)
    : instance(quoted(instanceName))
    , descriptor(outputDescriptor)
{
    const int flags = fcntl(this->descriptor, F_GETFL);
    if (flags >= 0) {
        fcntl(this->descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

bool EventLog::tryAcquireLine(Importance importance, std::chrono::steady_clock::time_point now)
{
    if (now - this->secondStart >= std::chrono::seconds(1)) {
        this->secondStart = now;
        this->routineLines = 0;
        this->notableLines = 0;
        if (this->suppressedCount != this->reportedSuppressed) {
            this->append("log_suppressed", { { "lines", static_cast<std::int64_t>(this->suppressedCount) } });
            this->reportedSuppressed = this->suppressedCount;
        }
    }
    const bool fits = this->buffer.size() < maximumBufferBytes;
    const bool granted = importance == Importance::Notable ? ++this->notableLines <= notableLinesPerSecond
                                                           : ++this->routineLines <= routineLinesPerSecond;
    if (!fits || !granted) {
        ++this->suppressedCount;
    }
    return fits && granted;
}

void EventLog::append(std::string_view event, std::initializer_list<Field> fields)
{
    const auto now = std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    fmt::format_to(std::back_inserter(this->buffer),
        R"({{"time":"{:%Y-%m-%dT%H:%M:%S}.{:03}Z","event":"{}","instance":{})",
        fmt::gmtime(std::chrono::system_clock::to_time_t(now)), now.time_since_epoch().count() % 1000, event,
        this->instance);
    for (const Field& field : fields) {
        const std::string value = std::visit(Overloaded {
                                                 [](std::string_view text) { return quoted(text); },
                                                 [](std::int64_t number) { return fmt::to_string(number); },
                                             },
            field.value);
        fmt::format_to(std::back_inserter(this->buffer), R"(,"{}":{})", field.name, value);
    }
    this->buffer += "}\n";
}

void EventLog::log(Importance importance, std::string_view event, std::initializer_list<Field> fields)
{
    if (!this->tryAcquireLine(importance, std::chrono::steady_clock::now())) {
        return;
    }
    this->append(event, fields);
    if (this->buffer.size() >= flushBytes) {
        this->flush();
    }
}

void EventLog::flush()
{
    while (!this->buffer.empty()) {
        const auto written = write(this->descriptor, this->buffer.data(), this->buffer.size());
        if (written < 0) {
            if (errno == EINTR) {
                continue;
            }
            if (errno != EAGAIN) {
                this->buffer.clear(); // the log has no reader any more
            }
            return;
        }
        this->buffer.erase(0, static_cast<std::size_t>(written));
    }
}

}
