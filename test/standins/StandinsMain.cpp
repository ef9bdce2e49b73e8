#include "BackendStandin.h"
#include "DocumentCommands.h"
#include "NetworkStandin.h"
#include "PlatformStandin.h"
#include "ProxyStandin.h"

#include <exception>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace {

constexpr int usageStatus = 2;

struct Command {
    const char* name;
    int (*run)(const std::vector<std::string>& arguments);
};

constexpr Command commands[] = {
    { "backend", chicoryferry::standins::runBackendStandin },
    { "fill-document", chicoryferry::standins::runFillDocument },
    { "list-hosts", chicoryferry::standins::runListHosts },
    { "network", chicoryferry::standins::runNetworkStandin },
    { "platform", chicoryferry::runPlatformStandin },
    { "proxy", chicoryferry::standins::runProxyStandin },
};

}

int main(int argc, char** argv)
{
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    try {
        for (const Command& command : commands) {
            if (!arguments.empty() && arguments.front() == command.name) {
                return command.run({ arguments.begin() + 1, arguments.end() });
            }
        }
    } catch (const std::exception& error) {
        fmt::print(stderr, "chicoryferry_standins: {}\n", error.what());
        return usageStatus;
    }
    fmt::print(stderr,
        "chicoryferry_standins: the first argument must be one of: backend, fill-document, list-hosts, network, "
        "platform, proxy\n");
    return usageStatus;
}
