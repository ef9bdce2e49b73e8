#include "app/BalancerProcess.h"
#include "app/Commands.h"
#include "app/NodeCommand.h"

namespace chicoryferry {

int runBalancer(const std::vector<std::string>& arguments)
{
    if (const auto status = runNode("balancer", arguments)) {
        return *status;
    }
    BalancerProcess process(parseSettings("balancer", arguments));
    process.run();
    return 0;
}

}
