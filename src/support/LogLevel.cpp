#include "support/LogLevel.h"

#include "support/UserError.h"

#include <array>
#include <string>

namespace chicoryferry {

namespace {

constexpr std::array<std::string_view, 4> levelNames { "debug", "info", "warning", "error" };

}

LogLevel parseLogLevel(std::string_view text)
{
    for (std::size_t index = 0; index < levelNames.size(); ++index) {
        if (levelNames[index] == text) {
            return static_cast<LogLevel>(index);
        }
    }
    throw UserError("parse settings", std::string(text), "log level must be debug, info, warning or error");
}

std::string_view logLevelName(LogLevel level) { return levelNames[static_cast<std::size_t>(level)]; }

}
