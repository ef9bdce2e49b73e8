#include "CallerSession.h"

#include <stdexcept>

namespace chicoryferry::integration {

CallerSession::CallerSession(
    CallHistory& historyToUse, std::string callerAddress, std::string serviceName, const Endpoint& entryAddress)
    : history(historyToUse)
    , caller(std::move(callerAddress))
    , service(std::move(serviceName))
    , entry(entryAddress)
{
}

void CallerSession::connect() { this->connection = std::make_unique<HttpConnection>(this->entry); }

void CallerSession::reset()
{
    if (this->connection) {
        this->connection->reset();
        this->connection.reset();
    }
}

HttpAnswer CallerSession::get(const std::string& target, std::chrono::milliseconds timeout)
{
    Call call;
    call.method = "GET";
    call.target = target;
    return this->perform(std::move(call), timeout);
}

HttpAnswer CallerSession::post(const std::string& target, const std::string& body, const std::string& idempotencyKey,
    std::chrono::milliseconds timeout)
{
    Call call;
    call.method = "POST";
    call.target = target;
    call.body = body;
    call.idempotencyKey = idempotencyKey;
    return this->perform(std::move(call), timeout);
}

HttpAnswer CallerSession::perform(Call call, std::chrono::milliseconds timeout)
{
    call.id = this->history.nextId();
    call.caller = this->caller;
    call.service = this->service;
    HttpConnection::Headers headers { { "X-Request-Id", call.id } };
    if (!call.idempotencyKey.empty()) {
        headers["Idempotency-Key"] = call.idempotencyKey;
    }
    call.start = std::chrono::steady_clock::now();
    try {
        if (!this->connection) {
            this->connect();
        }
        call.answer = this->connection->request(call.method, call.target, headers, call.body, timeout);
        this->broken += call.answer.complete ? 0 : 1;
        if (!this->connection->usable()) {
            this->connection.reset();
        }
    } catch (const std::runtime_error& error) {
        call.answer.failure = error.what();
    }
    call.end = std::chrono::steady_clock::now();
    HttpAnswer answer = call.answer;
    this->history.add(std::move(call));
    return answer;
}

}
