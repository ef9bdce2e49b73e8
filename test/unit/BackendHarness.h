#pragma once

#include "ScriptedBackend.h"
#include "transport/BackendClient.h"

#include <chrono>
#include <optional>
#include <string>

namespace chicoryferry {

// A backend client that records the events of one run.
class BackendHarness {
public:
    explicit BackendHarness(EventLoop&, const Endpoint& server, std::chrono::milliseconds silence);

    std::uint64_t start(const HttpRequestHead&, std::size_t credit = 256UL * 1024);

    // Drives the event loop until the run ends or the limit is reached; returns whether the run has ended.
    bool runToEnd(std::chrono::milliseconds limit = std::chrono::seconds(20));

    EventLoop& eventLoop;
    std::optional<HttpAnswerHead> head;
    std::string body;
    std::size_t bodyWritten { 0 };
    std::optional<RunResult> result;
    BackendClient client;

private:
    void record(BackendEvent);
};

// A GET request without a body.
HttpRequestHead makeGet(const std::string& target);

}
