#include "HistoryChecker.h"

#include "../standins/AnswerContent.h"

#include <fmt/format.h>
#include <map>

namespace chicoryferry::integration {

namespace {

using Violations = std::vector<std::string>;

// The backend server stand-ins set this header in their answers; refusals by chicoryferry lack it.
bool isBackendAnswer(const HttpAnswer& answer) { return answer.headers.contains("x-service"); }

std::string describe(const Call& call)
{
    return fmt::format("{} {} {} {} (status {}, outcome '{}', reason '{}', {} bytes, {})", call.id, call.service,
        call.method, call.target, call.answer.status, call.answer.header("chicoryferry-outcome"),
        call.answer.header("chicoryferry-reason"), call.answer.body.size(),
        call.answer.complete ? "complete" : call.answer.failure);
}

void checkIsolation(const Call& call, Violations& violations)
{
    const std::string answeredBy = call.answer.header("x-service");
    if (!answeredBy.empty() && answeredBy != call.service) {
        violations.push_back(fmt::format("isolation: {} was answered by {}", describe(call), answeredBy));
    }
}

void checkAnswerIntegrity(const Call& call, Violations& violations)
{
    const HttpAnswer& answer = call.answer;
    if (!isBackendAnswer(answer)) {
        return;
    }
    const standins::AnswerIdentity identity { call.service, call.target, standins::contentHash(call.body) };
    const std::uint64_t bytes = call.method == "HEAD" ? 0 : standins::answerBytes(call.target);
    if (answer.complete && answer.body.size() != bytes) {
        violations.push_back(fmt::format("answer integrity: {} should have {} bytes", describe(call), bytes));
    }
    if (answer.body != standins::answerContent(identity, 0, answer.body.size())) {
        violations.push_back(
            fmt::format("answer integrity: {} has content that does not belong to its request", describe(call)));
    }
}

void checkReportedOutcome(const Call& call, const std::map<std::string, std::size_t>& runsById, Violations& violations)
{
    const HttpAnswer& answer = call.answer;
    const std::string outcome = answer.header("chicoryferry-outcome");
    if (answer.complete && !isBackendAnswer(answer) && outcome != "not-run" && outcome != "unknown"
        && answer.status != 409) {
        violations.push_back(fmt::format("not run: {} is a refusal without an outcome", describe(call)));
    }
    const auto runs = runsById.find(call.id);
    if (outcome == "not-run" && runs != runsById.end()) {
        violations.push_back(fmt::format("not run: {} ran {} times", describe(call), runs->second));
    }
}

}

std::vector<std::string> checkHistory(const std::vector<Call>& calls, const nlohmann::json& runs)
{
    Violations violations;
    std::map<std::string, std::size_t> runsById;
    std::map<std::string, std::size_t> runsByKey;
    std::map<std::string, std::string> serviceById;
    for (const Call& call : calls) {
        serviceById[call.id] = call.service;
    }
    for (const nlohmann::json& run : runs) {
        if (!run.at("started").get<bool>()) {
            continue;
        }
        const std::string id = run.at("requestId");
        const std::string service = run.at("service");
        ++runsById[id];
        if (const std::string key = run.at("key"); !key.empty()) {
            ++runsByKey[fmt::format("{} {}", service, key)];
        }
        if (const auto requested = serviceById.find(id);
            requested != serviceById.end() && requested->second != service) {
            violations.push_back(fmt::format("isolation: {}, sent to {}, ran at {}", id, requested->second, service));
        }
    }
    for (const Call& call : calls) {
        checkIsolation(call, violations);
        checkAnswerIntegrity(call, violations);
        checkReportedOutcome(call, runsById, violations);
        if (call.method == "POST" && runsById.contains(call.id) && runsById.at(call.id) > 1) {
            violations.push_back(fmt::format("at most once: {} ran {} times", describe(call), runsById.at(call.id)));
        }
    }
    for (const auto& [key, count] : runsByKey) {
        if (count > 1) {
            violations.push_back(fmt::format("at most once: key {} ran {} times", key, count));
        }
    }
    return violations;
}

}
