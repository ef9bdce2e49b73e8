#include "app/BalancerProcess.h"
#include "app/Commands.h"

namespace chicoryferry {

int runBalancer(const std::vector<std::string>& arguments)
{
    BalancerProcess process(parseSettings("balancer", arguments));
    process.run();
    return 0;
}

}
