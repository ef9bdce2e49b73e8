#include "app/Commands.h"

#include "app/AgentProcess.h"

namespace chicoryferry {

int runAgent(const std::vector<std::string>& arguments)
{
    AgentProcess process(parseSettings("agent", arguments));
    process.run();
    return 0;
}

}
