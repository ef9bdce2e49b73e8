#include "app/Commands.h"

#include "support/UserError.h"

#include <fmt/format.h>

namespace chicoryferry {

int runCommand(const std::vector<std::string>& arguments)
{
    const std::string accepted = "balancer, agent, check, plan, status or version";
    if (arguments.empty()) {
        throw UserError("parse command", "", "missing command; accepted: " + accepted);
    }
    const std::string& command = arguments.front();
    const std::vector<std::string> rest(arguments.begin() + 1, arguments.end());
    if (command == "balancer") {
        return runBalancer(rest);
    }
    if (command == "agent") {
        return runAgent(rest);
    }
    if (command == "check") {
        return runCheck(rest);
    }
    if (command == "plan") {
        return runPlan(rest);
    }
    if (command == "status") {
        return runStatus(rest);
    }
    if (command == "version") {
        fmt::print("chicoryferry {}\n", CHICORYFERRY_VERSION);
        return 0;
    }
    throw UserError("parse command", command, "unknown command; accepted: " + accepted);
}

}
