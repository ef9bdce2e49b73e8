#pragma once

#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

// Runs a role on the users' platform if --settings or CHICORYFERRY_SETTINGS names a settings file. Returns the exit
// status, or std::nullopt if neither does: the role then takes its settings from flags.
std::optional<int> runNode(const std::string& role, const std::vector<std::string>& arguments);

}
