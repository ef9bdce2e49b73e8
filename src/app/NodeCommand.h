#pragma once

#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

// Runs a role on the users' platform when a settings file is named by --settings or CHICORYFERRY_SETTINGS. Returns the
// exit status, or nothing when none is named: the role then takes its settings from flags.
std::optional<int> runNode(const std::string& role, const std::vector<std::string>& arguments);

}
