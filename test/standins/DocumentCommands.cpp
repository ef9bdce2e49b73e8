#include "DocumentCommands.h"

#include "StandinOptions.h"
#include "support/UserError.h"

#include <fmt/format.h>
#include <fstream>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

namespace chicoryferry::standins {

namespace {

nlohmann::json readDocument(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        throw UserError("read document", path, "cannot open the file");
    }
    return nlohmann::json::parse(file);
}

void writeDocument(const std::string& path, const nlohmann::json& document)
{
    std::ofstream file(path);
    file << document.dump(2) << '\n';
    if (!file) {
        throw UserError("write document", path, "cannot write the file");
    }
}

std::string serviceOf(const nlohmann::json& host) { return host.at("labels").at("service"); }

// The fields that follow the kind (host or balancer) and the name on an input line.
struct InstanceLine {
    std::string availabilityZone; // balancers only
    std::string dataAddress;
    std::string peerAddress;
    std::string adminAddress;
};

struct InstanceLines {
    std::map<std::string, InstanceLine> hosts;
    std::map<std::string, InstanceLine> balancers;
};

InstanceLines readInstanceLines(std::istream& input)
{
    InstanceLines lines;
    for (std::string text; std::getline(input, text);) {
        std::istringstream fields(text);
        std::string kind;
        std::string name;
        InstanceLine line;
        fields >> kind >> name;
        if (kind == "balancer") {
            fields >> line.availabilityZone;
        }
        fields >> line.dataAddress >> line.peerAddress >> line.adminAddress;
        if (!fields || (kind != "host" && kind != "balancer")) {
            throw UserError("read instance lines", text, "not a host or balancer line");
        }
        (kind == "host" ? lines.hosts : lines.balancers)[name] = line;
    }
    return lines;
}

nlohmann::json instance(const std::string& name, const std::string& role, const std::string& availabilityZone,
    std::uint64_t incarnation, const InstanceLine& line)
{
    return { { "name", name }, { "role", role }, { "availabilityZone", availabilityZone },
        { "incarnation", incarnation }, { "dataAddress", line.dataAddress }, { "peerAddress", line.peerAddress },
        { "adminAddress", line.adminAddress }, { "state", "live" } };
}

}

int runListHosts(const std::vector<std::string>& arguments)
{
    const StandinOptions options(arguments, { "--configuration", "--per-service" });
    const nlohmann::json document = readDocument(options.text("--configuration", ""));
    const std::size_t limit = std::stoul(options.text("--per-service", "2"));
    std::map<std::string, std::size_t> listed;
    for (const nlohmann::json& host : document.at("hosts")) {
        if (++listed[serviceOf(host)] <= limit) {
            fmt::print("{} {} {} {}\n", host.at("name").get<std::string>(), serviceOf(host),
                host.at("availabilityZone").get<std::string>(), host.at("slots").get<unsigned>());
        }
    }
    return 0;
}

int runFillDocument(const std::vector<std::string>& arguments)
{
    const StandinOptions options(arguments, { "--configuration", "--output" });
    nlohmann::json document = readDocument(options.text("--configuration", ""));
    const std::string output = options.text("--output", ".");
    const InstanceLines lines = readInstanceLines(std::cin);
    nlohmann::json hosts = nlohmann::json::array();
    nlohmann::json instances = nlohmann::json::array();
    for (nlohmann::json host : document.at("hosts")) {
        const auto line = lines.hosts.find(host.at("name"));
        if (line != lines.hosts.end()) {
            host["dataAddress"] = line->second.dataAddress;
            host["peerAddress"] = line->second.peerAddress;
            instances.push_back(
                instance(line->first, "agent", host.at("availabilityZone"), host.at("incarnation"), line->second));
            hosts.push_back(std::move(host));
        }
    }
    for (const auto& [name, line] : lines.balancers) {
        instances.push_back(instance(name, "balancer", line.availabilityZone, 1, line));
    }
    document["hosts"] = std::move(hosts);
    writeDocument(output + "/configuration.json", document);
    writeDocument(output + "/instances.json", { { "version", 1 }, { "instances", instances } });
    return 0;
}

}
