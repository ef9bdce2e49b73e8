#include "app/AgentProcess.h"
#include "app/Commands.h"
#include "app/NodeCommand.h"

namespace chicoryferry {

int runAgent(const std::vector<std::string>& arguments)
{
    if (const auto status = runNode("agent", arguments)) {
        return *status;
    }
    AgentProcess process(parseSettings("agent", arguments));
    process.run();
    return 0;
}

}
