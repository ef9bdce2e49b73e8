#include "app/ErrorAnswer.h"

#include <nlohmann/json.hpp>

namespace chicoryferry {

namespace {

const char* outcomeName(RunOutcome outcome)
{
    switch (outcome) {
    case RunOutcome::Completed:
        return "completed";
    case RunOutcome::NotRun:
        return "not-run";
    case RunOutcome::Unknown:
        break;
    }
    return "unknown";
}

}

ErrorAnswer makeErrorAnswer(const RefuseRequest& refusal)
{
    ErrorAnswer answer;
    const std::string outcome = outcomeName(refusal.outcome);
    nlohmann::ordered_json body;
    body["error"] = refusal.reason;
    body["outcome"] = outcome;
    answer.head.status = refusal.status;
    answer.head.headers = { { "Content-Type", "application/json" }, { "Chicoryferry-Outcome", outcome },
        { "Chicoryferry-Reason", refusal.reason } };
    if (refusal.retryAfter.count() > 0) {
        const auto seconds = std::chrono::ceil<std::chrono::seconds>(refusal.retryAfter);
        answer.head.headers.emplace_back("Retry-After", std::to_string(seconds.count()));
        body["retryAfterSeconds"] = seconds.count();
    }
    answer.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    answer.head.framing = BodyFraming::ContentLength;
    answer.head.contentLength = answer.body.size();
    return answer;
}

}
