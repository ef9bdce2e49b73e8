#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

namespace chicoryferry {

// Writes one JSON object per line to a descriptor without ever blocking and with a bounded number of lines per second.
// Notable lines have a rate limit of their own, so that routine lines cannot displace refusals and lost dependencies;
// suppressed lines are counted and reported by a separate line. Used from one thread only.
class EventLog {
public:
    enum class Importance {
        Routine, // ordinary decisions
        Notable, // refusals, changes in the known state of peers, store and configuration, start and stop
    };

    struct Field {
        std::string_view name;
        std::variant<std::string_view, std::int64_t> value;
    };

    // descriptor: for example standard output; it is set to non-blocking.
    EventLog(std::string_view instance, int descriptor);

    void log(Importance, std::string_view event, std::initializer_list<Field> fields);

    // Writes the buffered lines to the descriptor, as far as it accepts them.
    void flush();

private:
    // Returns whether the rate limit and the buffer allow another line; if not, counts it as suppressed.
    bool tryAcquireLine(Importance, std::chrono::steady_clock::time_point now);
    void append(std::string_view event, std::initializer_list<Field> fields);

    std::string instance; // as a JSON string
    int descriptor;
    std::string buffer;
    std::chrono::steady_clock::time_point secondStart;
    std::uint32_t routineLines { 0 };
    std::uint32_t notableLines { 0 };
    std::uint64_t suppressedCount { 0 };
    std::uint64_t reportedSuppressed { 0 };
};

}
