#include "app/Commands.h"

#include "protocol/Endpoint.h"
#include "support/Error.h"
#include "support/UserError.h"
#include "transport/HttpGet.h"

#include <chrono>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>

namespace chicoryferry {

namespace {

constexpr std::chrono::milliseconds answerTimeout { 2000 };
constexpr std::size_t maximumStatusBytes = 65536;
constexpr int statusOk = 200;

// Prints the status of one process. Returns its configuration version, or nullopt when there was no valid answer.
std::optional<std::uint64_t> printStatus(const Endpoint& endpoint)
{
    const std::string peer = formatEndpoint(endpoint);
    try {
        const HttpGetAnswer answer = httpGet(endpoint, "/v1/status", maximumStatusBytes, answerTimeout);
        if (answer.status != statusOk) {
            throw UserError("read status", peer, fmt::format("status {}", answer.status));
        }
        const nlohmann::json report = nlohmann::json::parse(answer.body);
        const auto version = report.at("configurationVersion").get<std::uint64_t>();
        fmt::print("{} {}\n", peer, report.dump());
        return version;
    } catch (const Error& error) {
        fmt::print("{} no answer: {}\n", peer, error.what());
    } catch (const nlohmann::json::exception& error) {
        fmt::print("{} answer is not a status report: {}\n", peer, error.what());
    }
    return std::nullopt;
}

}

int runStatus(const std::vector<std::string>& arguments)
{
    if (arguments.empty()) {
        throw UserError("parse arguments", "status", "usage: status ENDPOINT..., each endpoint as a.b.c.d:port");
    }
    std::vector<Endpoint> endpoints;
    endpoints.reserve(arguments.size());
    for (const std::string& argument : arguments) {
        endpoints.push_back(parseEndpoint(argument));
    }
    std::set<std::uint64_t> versions;
    std::size_t unanswered = 0;
    for (const Endpoint& endpoint : endpoints) {
        if (const auto version = printStatus(endpoint)) {
            versions.insert(*version);
        } else {
            ++unanswered;
        }
    }
    if (unanswered > 0) {
        fmt::print("{} of {} processes did not answer with a valid status report\n", unanswered, endpoints.size());
        return 1;
    }
    if (versions.size() > 1) {
        fmt::print("configuration versions differ: {} to {}\n", *versions.begin(), *versions.rbegin());
        return 1;
    }
    fmt::print("all {} processes hold configuration version {}\n", endpoints.size(), *versions.begin());
    return 0;
}

}
