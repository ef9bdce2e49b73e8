#include "app/Commands.h"
#include "app/DocumentFile.h"
#include "coordination/ChangePlan.h"
#include "protocol/ConfigurationDocument.h"
#include "support/UserError.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace chicoryferry {

namespace {

std::shared_ptr<const Configuration> loadConfiguration(const std::string& file)
{
    return std::make_shared<const Configuration>(parseConfiguration(readDocumentFile(file)));
}

std::string describeHosts(const std::vector<std::string>& hosts)
{
    return hosts.empty() ? "none" : fmt::format("{}", fmt::join(hosts, ", "));
}

}

int runPlan(const std::vector<std::string>& arguments)
{
    if (arguments.size() != 2) {
        throw UserError("parse command", "plan", "usage: plan OLD NEW");
    }
    const auto before = loadConfiguration(arguments[0]);
    const auto after = loadConfiguration(arguments[1]);
    if (after->version <= before->version) {
        fmt::print("warning: version {} is not newer than version {}; every process will reject it\n", after->version,
            before->version);
    }
    for (const ServiceChange& change : planChange(before, after)) {
        fmt::print("{}: gained {}; lost {}; draining {}; new owner for {:.1f} % of flows\n", change.service,
            describeHosts(change.gained), describeHosts(change.lost), describeHosts(change.draining),
            change.movedFlowShare * 100);
    }
    return 0;
}

}
