#include "support/Duration.h"

#include "support/UserError.h"

#include <charconv>
#include <string>

namespace chicoryferry {

std::chrono::milliseconds parseDuration(std::string_view text)
{
    // With 32 bits even the largest number of hours is within the range of std::chrono::milliseconds.
    std::uint32_t amount = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), amount);
    const std::string_view unit = text.substr(static_cast<std::size_t>(end - text.data()));
    if (error == std::errc()) {
        if (unit == "ms") {
            return std::chrono::milliseconds(amount);
        }
        if (unit == "s") {
            return std::chrono::seconds(amount);
        }
        if (unit == "m") {
            return std::chrono::minutes(amount);
        }
        if (unit == "h") {
            return std::chrono::hours(amount);
        }
    }
    throw UserError("parse duration", std::string(text), "not a duration such as 250ms, 5s, 10m or 8h");
}

}
