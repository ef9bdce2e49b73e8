#include "app/Settings.h"

#include "support/Duration.h"
#include "support/UserError.h"

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fmt/format.h>
#include <functional>
#include <tclap/CmdLine.h>

namespace chicoryferry {

namespace {

struct Flag {
    std::string name;
    std::string description;
    std::string defaultValue;
    std::string accepted;
    bool required;
    std::function<void(const std::string&)> assign;
};

std::string environmentName(const std::string& flag)
{
    std::string name = "CHICORYFERRY_";
    for (const char character : flag) {
        name += character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    return name;
}

std::uint64_t parseNumber(const std::string& text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        throw UserError("parse settings", text, "not a whole number");
    }
    return value;
}

// Accepts "http://a.b.c.d:port" with or without a trailing slash, because the platform is addressed by IP address.
Endpoint parseHttpUrl(const std::string& text)
{
    const std::string scheme = "http://";
    if (!text.starts_with(scheme)) {
        throw UserError("parse settings", text, "not an http:// URL");
    }
    std::string rest = text.substr(scheme.size());
    if (rest.ends_with('/')) {
        rest.pop_back();
    }
    return parseEndpoint(rest);
}

std::vector<Endpoint> parseEndpoints(const std::string& text)
{
    std::vector<Endpoint> endpoints;
    for (std::size_t start = 0; start < text.size();) {
        const std::size_t end = std::min(text.find(',', start), text.size());
        endpoints.push_back(parseEndpoint(std::string_view(text).substr(start, end - start)));
        start = end + 1;
    }
    return endpoints;
}

std::string parseName(const std::string& text)
{
    if (text.empty() || text.size() > 128) {
        throw UserError("parse settings", text, "not a name of 1 to 128 characters");
    }
    return text;
}

std::vector<Flag> roleFlags(Settings& settings)
{
    const std::string anyPort = "127.0.0.1:0";
    const std::string endpointText = "a.b.c.d:port";
    std::vector<Flag> flags {
        { "instance", "Name of this instance", "", "a name of 1 to 128 characters", true,
            [&](const std::string& text) { settings.instance = parseName(text); } },
        { "availability-zone", "Availability zone of this instance", "", "a name of 1 to 128 characters", true,
            [&](const std::string& text) { settings.availabilityZone = parseName(text); } },
        { "incarnation", "Number that the platform increases at each start of this instance", "1", "a whole number",
            false, [&](const std::string& text) { settings.incarnation = parseNumber(text); } },
        { "data-address", "UDP address for packets; port 0 lets the kernel choose", anyPort, endpointText, false,
            [&](const std::string& text) { settings.dataAddress = parseEndpoint(text); } },
        { "peer-address", "TCP address for messages between processes", anyPort, endpointText, false,
            [&](const std::string& text) { settings.peerAddress = parseEndpoint(text); } },
        { "admin-address", "TCP address for metrics, health and status", anyPort, endpointText, false,
            [&](const std::string& text) { settings.adminAddress = parseEndpoint(text); } },
        { "platform", "URL of the platform's configuration service", "", "http://a.b.c.d:port", true,
            [&](const std::string& text) { settings.platform = parseHttpUrl(text); } },
        { "peers", "Peer addresses to ask for configuration until an instance list is known", "",
            "a.b.c.d:port, separated by commas, or nothing", false,
            [&](const std::string& text) { settings.seedPeers = parseEndpoints(text); } },
        { "log-level", "Lowest severity that is logged", "info", "debug, info, warning or error", false,
            [&](const std::string& text) { settings.logLevel = parseLogLevel(text); } },
    };
    if (settings.role == "agent") {
        const std::string durationText = "a duration such as 250ms, 5s, 10m or 8h";
        flags.push_back({ "fabric-address", "UDP address of the network fabric that delivers packets to callers", "",
            endpointText, true, [&](const std::string& text) { settings.fabricAddress = parseEndpoint(text); } });
        flags.push_back({ "backend-server", "HTTP address of the backend server", "", endpointText, true,
            [&](const std::string& text) { settings.backendServer = parseEndpoint(text); } });
        flags.push_back({ "drain-limit", "Longest time that a graceful shutdown waits for flows to end", "8h",
            durationText, false, [&](const std::string& text) { settings.drainLimit = parseDuration(text); } });
        flags.push_back({ "backend-silence", "Longest time without progress from the backend server", "10s",
            durationText, false, [&](const std::string& text) { settings.backendSilence = parseDuration(text); } });
    }
    return flags;
}

void assignFlag(const Flag& flag, const std::string& origin, const std::string& value)
{
    try {
        flag.assign(value);
    } catch (const Error&) {
        throw UserError("parse settings", origin, fmt::format("bad value '{}'; accepted: {}", value, flag.accepted));
    }
}

void applyFlag(const Flag& flag, const TCLAP::ValueArg<std::string>& argument)
{
    if (argument.isSet()) {
        assignFlag(flag, "--" + flag.name, argument.getValue());
        return;
    }
    const std::string variable = environmentName(flag.name);
    if (const char* value = std::getenv(variable.c_str())) {
        assignFlag(flag, variable, value);
        return;
    }
    if (flag.required) {
        throw UserError("parse settings", "--" + flag.name,
            fmt::format("missing; give the flag or {}; accepted: {}", variable, flag.accepted));
    }
    assignFlag(flag, "--" + flag.name, flag.defaultValue);
}

}

Settings parseSettings(const std::string& role, const std::vector<std::string>& arguments)
{
    Settings settings;
    settings.role = role;
    const std::vector<Flag> flags = roleFlags(settings);
    TCLAP::CmdLine command("chicoryferry " + role, ' ', CHICORYFERRY_VERSION, false);
    command.setExceptionHandling(false);
    std::vector<std::unique_ptr<TCLAP::ValueArg<std::string>>> values;
    values.reserve(flags.size());
    for (const Flag& flag : flags) {
        values.push_back(std::make_unique<TCLAP::ValueArg<std::string>>(
            "", flag.name, flag.description, false, flag.defaultValue, flag.accepted, command));
    }
    std::vector<std::string> commandLine { "chicoryferry " + role };
    commandLine.insert(commandLine.end(), arguments.begin(), arguments.end());
    try {
        command.parse(commandLine);
    } catch (const TCLAP::ArgException& error) {
        throw UserError("parse settings", error.argId(), error.error());
    }
    for (std::size_t index = 0; index < flags.size(); ++index) {
        applyFlag(flags[index], *values[index]);
    }
    return settings;
}

}
