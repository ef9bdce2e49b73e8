#include "app/Commands.h"
#include "app/DocumentFile.h"
#include "protocol/ConfigurationDocument.h"
#include "protocol/ConfigurationError.h"

#include <fmt/format.h>

namespace chicoryferry {

int runCheck(const std::vector<std::string>& arguments)
{
    if (arguments.size() != 1) {
        throw UserError("parse command", "check", "usage: check FILE");
    }
    const std::string& file = arguments.front();
    try {
        const Configuration configuration = parseConfiguration(readDocumentFile(file));
        fmt::print("{}: version {} is valid ({} services, {} hosts)\n", file, configuration.version,
            configuration.services.size(), configuration.hosts.size());
        return 0;
    } catch (const ConfigurationError& error) {
        for (const ConfigurationFault& fault : error.faults()) {
            fmt::print("{}:{}: {}\n", file, fault.path.empty() ? "/" : fault.path, fault.message);
        }
        return 1;
    }
}

}
