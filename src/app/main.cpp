#include "app/Commands.h"

#include "support/Error.h"

#include <exception>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace {

// Exit status for usage errors, as documented for operators.
constexpr int usageStatus = 2;

}

int main(int argc, char** argv)
{
    try {
        return chicoryferry::runCommand(std::vector<std::string>(argv + 1, argv + argc));
    } catch (const std::exception& error) {
        fmt::print(stderr, "chicoryferry: {}\n", error.what());
        return usageStatus;
    }
}
