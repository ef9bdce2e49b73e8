#include "protocol/ConfigurationDocument.h"

#include "protocol/ConfigurationError.h"
#include "protocol/DocumentReader.h"
#include "protocol/LabelIndex.h"
#include "support/Error.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <fmt/ranges.h>
#include <limits>
#include <map>
#include <set>

namespace chicoryferry {

namespace {

constexpr const char* checkStep = "check configuration";

constexpr std::uint64_t maximumNumber = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t maximumHostSlots = 4096;
constexpr std::uint64_t maximumHostConnections = 65535;

Route readRoute(DocumentReader& reader)
{
    reader.allowOnly({ "method", "path", "shareable", "repeatable", "deadline", "sizeClass" });
    Route route;
    route.method = reader.text("method", "");
    route.path = reader.text("path", "/");
    if (!route.path.starts_with('/')) {
        reader.fault("path", "expected a path prefix that starts with '/'");
    }
    route.shareable = reader.flag("shareable").value_or(false);
    route.repeatable = reader.flag("repeatable");
    route.deadline = reader.duration("deadline", route.deadline);
    route.sizeClass = static_cast<SizeClass>(reader.choice("sizeClass", { "learned", "short", "long" }));
    if (route.shareable && !route.isRepeatable(route.method)) {
        reader.fault("shareable", "a route that is not repeatable cannot be shareable");
    }
    return route;
}

Service readService(DocumentReader& reader)
{
    reader.allowOnly({ "name", "address", "port", "protocol", "routes" });
    Service service;
    service.name = reader.name("name");
    service.id = serviceId(service.name);
    service.endpoint.address = reader.address("address");
    service.endpoint.port = static_cast<std::uint16_t>(reader.number("port", 1, 65535));
    reader.choice("protocol", { "http" });
    for (DocumentReader& route : reader.objects("routes", false)) {
        service.routes.push_back(readRoute(route));
    }
    return service;
}

// Parses "a.b.c.d/length" or a single address. Returns nothing when the text is neither.
std::optional<Prefix> parsePrefix(const std::string& text)
{
    const std::size_t slash = text.find('/');
    Prefix prefix;
    prefix.length = 32;
    try {
        prefix.address = parseAddress(text.substr(0, slash));
    } catch (const Error&) {
        return std::nullopt;
    }
    if (slash == std::string::npos) {
        return prefix;
    }
    const char* last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data() + slash + 1, last, prefix.length);
    if (error != std::errc() || end != last || prefix.length > 32) {
        return std::nullopt;
    }
    return prefix;
}

CallerGroup readCallerGroup(DocumentReader& reader)
{
    reader.allowOnly({ "name", "prefixes" });
    CallerGroup group;
    group.name = reader.name("name");
    for (const std::string& text : reader.texts("prefixes")) {
        if (const auto prefix = parsePrefix(text)) {
            group.prefixes.push_back(*prefix);
        } else {
            reader.fault("prefixes", fmt::format("'{}' is not an IPv4 prefix \"a.b.c.d/length\"", text));
        }
    }
    return group;
}

Binding readBinding(DocumentReader& reader)
{
    reader.allowOnly({ "service", "callers", "selector" });
    Binding binding;
    binding.service = reader.name("service");
    binding.callerGroup = reader.name("callers");
    // Required, because an absent selector would match every host, which is rarely intended.
    const std::string selector = reader.name("selector");
    try {
        binding.selector = Selector::parse(selector);
    } catch (const Error& error) {
        reader.fault("selector", error.what());
    }
    return binding;
}

Host readHost(DocumentReader& reader)
{
    reader.allowOnly({ "name", "incarnation", "availabilityZone", "dataAddress", "peerAddress", "slots", "connections",
        "state", "labels" });
    Host host;
    host.name = reader.name("name");
    host.incarnation = reader.number("incarnation", 0, maximumNumber);
    host.availabilityZone = reader.name("availabilityZone");
    host.dataAddress = reader.endpoint("dataAddress");
    host.peerAddress = reader.endpoint("peerAddress");
    host.slots = static_cast<unsigned>(reader.number("slots", 1, maximumHostSlots));
    host.connections = static_cast<unsigned>(reader.number("connections", 1, maximumHostConnections, host.connections));
    host.state = static_cast<HostState>(reader.choice("state", { "active", "draining" }));
    host.labels = reader.textMap("labels");
    return host;
}

// Records a fault for each element whose key equals that of an earlier element.
template <typename Element, typename KeyOf>
void checkUnique(const std::vector<Element>& elements, const std::string& field, const std::string& what, KeyOf keyOf,
    std::vector<ConfigurationFault>& faults)
{
    std::set<decltype(keyOf(elements.front()))> seen;
    for (std::size_t index = 0; index < elements.size(); ++index) {
        if (!seen.insert(keyOf(elements[index])).second) {
            faults.push_back({ fmt::format("/{}/{}", field, index), what });
        }
    }
}

void checkUniqueness(const Configuration& configuration, std::vector<ConfigurationFault>& faults)
{
    const auto nameOf = [](const auto& element) { return element.name; };
    checkUnique(configuration.services, "services", "name is used by an earlier service", nameOf, faults);
    checkUnique(
        configuration.services, "services", "address and port are used by an earlier service",
        [](const Service& service) { return service.endpoint; }, faults);
    checkUnique(
        configuration.services, "services", "hash of the name collides with that of an earlier service",
        [](const Service& service) { return service.id; }, faults);
    checkUnique(configuration.callerGroups, "callerGroups", "name is used by an earlier caller group", nameOf, faults);
    checkUnique(configuration.hosts, "hosts", "name is used by an earlier host", nameOf, faults);
    checkUnique(
        configuration.hosts, "hosts", "dataAddress is used by an earlier host",
        [](const Host& host) { return host.dataAddress; }, faults);
    checkUnique(
        configuration.hosts, "hosts", "peerAddress is used by an earlier host",
        [](const Host& host) { return host.peerAddress; }, faults);
    checkUnique(
        configuration.bindings, "bindings", "an earlier binding has the same service and callers",
        [](const Binding& binding) { return binding.service + '\n' + binding.callerGroup; }, faults);
}

void checkReferences(const Configuration& configuration, std::vector<ConfigurationFault>& faults)
{
    std::set<std::string> services;
    for (const Service& service : configuration.services) {
        services.insert(service.name);
    }
    std::set<std::string> groups;
    for (const CallerGroup& group : configuration.callerGroups) {
        groups.insert(group.name);
    }
    for (std::size_t index = 0; index < configuration.bindings.size(); ++index) {
        const Binding& binding = configuration.bindings[index];
        if (!services.contains(binding.service)) {
            faults.push_back({ fmt::format("/bindings/{}/service", index), "no service of this name in the document" });
        }
        if (!groups.contains(binding.callerGroup)) {
            faults.push_back(
                { fmt::format("/bindings/{}/callers", index), "no caller group of this name in the document" });
        }
    }
}

// Checks that each backend server is selected for at most one service, so that no change of labels can route requests
// of one service to a backend server of another.
void checkOneServicePerHost(const Configuration& configuration, std::vector<ConfigurationFault>& faults)
{
    const LabelIndex labels(configuration.hosts);
    std::vector<std::set<std::string>> servicesOfHost(configuration.hosts.size());
    for (const Binding& binding : configuration.bindings) {
        for (const std::uint32_t host : labels.select(binding.selector)) {
            servicesOfHost[host].insert(binding.service);
        }
    }
    for (std::size_t index = 0; index < servicesOfHost.size(); ++index) {
        if (servicesOfHost[index].size() > 1) {
            faults.push_back({ fmt::format("/hosts/{}/labels", index),
                fmt::format("selected by bindings of several services: {}", fmt::join(servicesOfHost[index], ", ")) });
        }
    }
}

Configuration readConfiguration(DocumentReader& reader)
{
    reader.allowOnly({ "version", "retention", "services", "callerGroups", "bindings", "hosts" });
    Configuration configuration;
    configuration.version = reader.number("version", 1, maximumNumber);
    configuration.retention = reader.duration("retention", configuration.retention);
    for (DocumentReader& service : reader.objects("services", true)) {
        configuration.services.push_back(readService(service));
    }
    for (DocumentReader& group : reader.objects("callerGroups", true)) {
        configuration.callerGroups.push_back(readCallerGroup(group));
    }
    for (DocumentReader& binding : reader.objects("bindings", true)) {
        configuration.bindings.push_back(readBinding(binding));
    }
    for (DocumentReader& host : reader.objects("hosts", true)) {
        configuration.hosts.push_back(readHost(host));
    }
    return configuration;
}

}

Configuration parseConfiguration(std::string_view text)
{
    if (text.size() > maximumDocumentBytes) {
        throw ConfigurationError(checkStep,
            { { "", fmt::format("document has {} bytes; accepted: at most {}", text.size(), maximumDocumentBytes) } });
    }
    nlohmann::json document;
    try {
        document = nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception& error) {
        throw ConfigurationError(checkStep, { { "", error.what() } });
    }
    return checkConfiguration(document);
}

Configuration checkConfiguration(const nlohmann::json& document)
{
    std::vector<ConfigurationFault> faults;
    DocumentReader reader(document, "", faults);
    Configuration configuration = readConfiguration(reader);
    // Relations between elements are only checked if the elements themselves are valid.
    if (faults.empty()) {
        checkUniqueness(configuration, faults);
        checkReferences(configuration, faults);
        checkOneServicePerHost(configuration, faults);
    }
    if (!faults.empty()) {
        throw ConfigurationError(checkStep, std::move(faults));
    }
    return configuration;
}

}
