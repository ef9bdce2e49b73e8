#include "app/NodeCommand.h"

#include "app/AgentNode.h"
#include "app/BalancerNode.h"
#include "platform/SettingsFile.h"
#include "support/UserError.h"

#include <cstdlib>

namespace chicoryferry {

namespace {

std::optional<std::string> settingsPath(const std::vector<std::string>& arguments)
{
    const std::string flag = "--settings";
    if (!arguments.empty() && arguments.front() == flag) {
        if (arguments.size() != 2) {
            throw UserError("parse settings", flag, "expected exactly one path and no other flags");
        }
        return arguments.back();
    }
    const char* path = std::getenv(platform::settingsVariable);
    return path == nullptr || !arguments.empty() ? std::nullopt : std::optional<std::string>(path);
}

}

std::optional<int> runNode(const std::string& role, const std::vector<std::string>& arguments)
{
    const auto path = settingsPath(arguments);
    if (!path) {
        return std::nullopt;
    }
    NodeSettings settings = platform::readSettingsFile(*path);
    if (role == "balancer") {
        BalancerNode(std::move(settings), *path).run();
        return 0;
    }
    if (settings.service.empty()) {
        throw UserError("parse settings", *path,
            "key app is missing or empty: an agent needs the address of a backend server on its machine");
    }
    AgentNode(std::move(settings), *path).run();
    return 0;
}

}
