#include "app/Commands.h"

#include "support/UserError.h"

namespace chicoryferry {

int runCheck(const std::vector<std::string>&) { throw UserError("run command", "", "not available yet"); }

}
