#include "app/Commands.h"

#include "support/UserError.h"

namespace chicoryferry {

int runBalancer(const std::vector<std::string>&) { throw UserError("run command", "", "not available yet"); }

}
