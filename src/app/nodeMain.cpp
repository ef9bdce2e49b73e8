#include "app/NodeCommand.h"

#include <exception>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace {

// The exit status for wrong usage, as described in the operator pages.
constexpr int usageStatus = 2;

}

// The roles of the users' platform without the product's own interface, whose libraries cost memory and start time on
// machines that do not use them. The same roles are in the main program.
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
            "chicoryferry-node: accepted: balancer or agent, with --settings PATH or "
            "CHICORYFERRY_SETTINGS\n");
    } catch (const std::exception& error) {
        fmt::print(stderr, "chicoryferry-node: {}\n", error.what());
    }
    return usageStatus;
}
