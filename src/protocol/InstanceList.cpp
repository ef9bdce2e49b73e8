#include "protocol/InstanceList.h"

#include "protocol/ConfigurationDocument.h"
#include "protocol/ConfigurationError.h"
#include "protocol/DocumentReader.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <set>

namespace chicoryferry {

namespace {

constexpr std::uint64_t maximumNumber = std::numeric_limits<std::int64_t>::max();

Instance readInstance(DocumentReader& reader)
{
    reader.allowOnly(
        { "name", "role", "availabilityZone", "incarnation", "dataAddress", "peerAddress", "adminAddress", "state" });
    Instance instance;
    instance.name = reader.name("name");
    instance.role = static_cast<InstanceRole>(reader.choice("role", { "balancer", "agent" }));
    instance.availabilityZone = reader.name("availabilityZone");
    instance.incarnation = reader.number("incarnation", 0, maximumNumber);
    instance.dataAddress = reader.endpoint("dataAddress");
    instance.peerAddress = reader.endpoint("peerAddress");
    instance.adminAddress = reader.endpoint("adminAddress", {});
    instance.state = static_cast<InstanceState>(reader.choice("state", { "live", "leaving" }));
    return instance;
}

}

const Instance* InstanceList::find(std::string_view name) const
{
    const auto found = std::find_if(this->instances.begin(), this->instances.end(),
        [&](const Instance& instance) { return instance.name == name; });
    return found == this->instances.end() ? nullptr : &*found;
}

InstanceList parseInstanceList(std::string_view text)
{
    const std::string step = "check instance list";
    std::vector<ConfigurationFault> faults;
    nlohmann::json document;
    try {
        document = nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception& error) {
        throw ConfigurationError(step, { { "", error.what() } });
    }
    DocumentReader reader(document, "", faults);
    reader.allowOnly({ "version", "instances" });
    InstanceList list;
    list.version = reader.number("version", 1, maximumNumber);
    std::set<std::string> names;
    for (DocumentReader& element : reader.objects("instances", true)) {
        list.instances.push_back(readInstance(element));
        if (!names.insert(list.instances.back().name).second) {
            element.fault("name", "name is used by an earlier instance");
        }
    }
    if (!faults.empty()) {
        throw ConfigurationError(step, std::move(faults));
    }
    return list;
}

}
