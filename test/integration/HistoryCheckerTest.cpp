// Guards against a history checker that misses violations, which would make the tests that rely on it pass wrongly.

#include "HistoryChecker.h"
#include "../standins/AnswerContent.h"

#include <doctest/doctest.h>

using namespace chicoryferry::integration;

namespace {

Call answeredCall(const std::string& id)
{
    Call call;
    call.id = id;
    call.service = "job";
    call.method = "GET";
    call.target = "/layout/1?size=300&id=" + id;
    call.answer.status = 200;
    call.answer.complete = true;
    call.answer.headers["x-service"] = "job";
    const chicoryferry::standins::AnswerIdentity identity { "job", call.target,
        chicoryferry::standins::contentHash("") };
    call.answer.body = answerContent(identity, 0, 300);
    return call;
}

nlohmann::json backendRun(const std::string& id, const std::string& service, const std::string& key)
{
    return { { "requestId", id }, { "service", service }, { "key", key }, { "started", true } };
}

}

TEST_CASE("a correct history has no violations")
{
    const nlohmann::json runs { backendRun("a", "job", ""), backendRun("b", "job", "key-1") };
    CHECK(checkHistory({ answeredCall("a"), answeredCall("b") }, runs).empty());
}

TEST_CASE("each kind of violation is reported")
{
    SUBCASE("answered by another service")
    {
        Call call = answeredCall("a");
        call.answer.headers["x-service"] = "drawing";
        CHECK(checkHistory({ call }, nlohmann::json::array()).size() == 1);
    }
    SUBCASE("run by another service")
    {
        CHECK(checkHistory({ answeredCall("a") }, nlohmann::json { backendRun("a", "drawing", "") }).size() == 1);
    }
    SUBCASE("answer of another request")
    {
        Call call = answeredCall("a");
        call.answer.body = answeredCall("b").answer.body;
        CHECK(checkHistory({ call }, nlohmann::json::array()).size() == 1);
    }
    SUBCASE("truncated answer that looks complete")
    {
        Call call = answeredCall("a");
        call.answer.body.resize(299);
        CHECK(checkHistory({ call }, nlohmann::json::array()).size() == 1);
    }
    SUBCASE("request reported as not-run that ran")
    {
        Call call = answeredCall("a");
        call.answer = HttpAnswer { 503, { { "chicoryferry-outcome", "not-run" } }, "", true, true, "" };
        CHECK(checkHistory({ call }, nlohmann::json { backendRun("a", "job", "") }).size() == 1);
    }
    SUBCASE("refusal without an outcome")
    {
        Call call = answeredCall("a");
        call.answer = HttpAnswer { 503, {}, "", true, true, "" };
        CHECK(checkHistory({ call }, nlohmann::json::array()).size() == 1);
    }
    SUBCASE("idempotency key that ran twice")
    {
        const nlohmann::json runs { backendRun("a", "job", "key-1"), backendRun("b", "job", "key-1") };
        CHECK(checkHistory({ answeredCall("a"), answeredCall("b") }, runs).size() == 1);
    }
}
