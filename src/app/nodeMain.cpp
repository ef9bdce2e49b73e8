#include "app/NodeCommand.h"

#include <exception>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace {

// Exit status for wrong usage, as documented for operators.
constexpr int usageStatus = 2;

}

// Runs only the roles of the users' platform, which the main program contains as well. This program does not link the
// libraries of the main program's own interface, because they cost memory and start-up time on machines that do not use
// it.
int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    try {
        if (!arguments.empty() && (arguments.front() == "balancer" || arguments.front() == "agent")) {
            if (const auto status
                = chicoryferry::runNode(arguments.front(), { arguments.begin() + 1, arguments.end() })) {
                return *status;
            }
        }
        fmt::print(stderr,
            "chicoryferry-node: usage: chicoryferry-node balancer|agent, with --settings PATH or "
            "CHICORYFERRY_SETTINGS\n");
    } catch (const std::exception& error) {
        fmt::print(stderr, "chicoryferry-node: {}\n", error.what());
    }
    return usageStatus;
}
