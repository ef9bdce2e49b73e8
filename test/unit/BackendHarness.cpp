#include "BackendHarness.h"

namespace chicoryferry {

BackendHarness::BackendHarness(EventLoop& loop, const Endpoint& server, std::chrono::milliseconds silence)
    : eventLoop(loop)
    , client(loop, server, silence,
          [this](BackendClient::TimePoint, BackendEvent event) { this->record(std::move(event)); })
{
}

std::uint64_t BackendHarness::start(const HttpRequestHead& request, std::size_t credit)
{
    return this->client.start(std::chrono::steady_clock::now(), request, std::chrono::milliseconds(1500), credit);
}

bool BackendHarness::runToEnd(std::chrono::milliseconds limit)
{
    return runUntil(
        this->eventLoop, [this] { return this->result.has_value(); },
        [this] { this->client.tick(std::chrono::steady_clock::now()); }, limit);
}

void BackendHarness::record(BackendEvent event)
{
    if (auto* answerHead = std::get_if<BackendAnswerHead>(&event)) {
        this->head = std::move(answerHead->head);
    } else if (auto* data = std::get_if<BackendAnswerData>(&event)) {
        this->body += data->data;
    } else if (const auto* written = std::get_if<BackendBodyWritten>(&event)) {
        this->bodyWritten += written->bytes;
    } else if (auto* end = std::get_if<BackendRunEnd>(&event)) {
        this->result = std::move(end->result);
    }
}

HttpRequestHead makeGet(const std::string& target)
{
    HttpRequestHead head;
    head.method = "GET";
    head.target = target;
    head.headers = { { "Host", "job" } };
    return head;
}

}
