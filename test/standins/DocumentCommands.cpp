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

// The fields that follow the kind and the name on an input line.
struct Member {
    std::string availabilityZone; // balancers only
    std::string dataAddress;
    std::string peerAddress;
    std::string adminAddress;
};

struct Members {
    std::map<std::string, Member> hosts;
    std::map<std::string, Member> balancers;
};

Members readMembers(std::istream& input)
{
    Members members;
    for (std::string line; std::getline(input, line);) {
        std::istringstream fields(line);
        std::string kind;
        std::string name;
        Member member;
        fields >> kind >> name;
        if (kind == "balancer") {
            fields >> member.availabilityZone;
        }
        fields >> member.dataAddress >> member.peerAddress >> member.adminAddress;
        if (!fields || (kind != "host" && kind != "balancer")) {
            throw UserError("read members", line, "not a host or balancer line");
        }
        (kind == "host" ? members.hosts : members.balancers)[name] = member;
    }
    return members;
}

nlohmann::json instance(const std::string& name, const std::string& role, const std::string& availabilityZone,
    std::uint64_t incarnation, const Member& member)
{
    return { { "name", name }, { "role", role }, { "availabilityZone", availabilityZone },
        { "incarnation", incarnation }, { "dataAddress", member.dataAddress }, { "peerAddress", member.peerAddress },
        { "adminAddress", member.adminAddress }, { "state", "live" } };
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
    const Members members = readMembers(std::cin);
    nlohmann::json hosts = nlohmann::json::array();
    nlohmann::json instances = nlohmann::json::array();
    for (nlohmann::json host : document.at("hosts")) {
        const auto member = members.hosts.find(host.at("name"));
        if (member != members.hosts.end()) {
            host["dataAddress"] = member->second.dataAddress;
            host["peerAddress"] = member->second.peerAddress;
            instances.push_back(
                instance(member->first, "agent", host.at("availabilityZone"), host.at("incarnation"), member->second));
            hosts.push_back(std::move(host));
        }
    }
    for (const auto& [name, member] : members.balancers) {
        instances.push_back(instance(name, "balancer", member.availabilityZone, 1, member));
    }
    document["hosts"] = std::move(hosts);
    writeDocument(output + "/configuration.json", document);
    writeDocument(output + "/instances.json", { { "version", 1 }, { "instances", instances } });
    return 0;
}

}
