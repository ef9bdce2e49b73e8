// Guarantees P3, P4, P5 and P9 of docs/promises.md under lost messages between agents: each caller gets the complete
// answer to its own request (P3), a request that was answered with outcome not-run did not run (P4), an idempotency key
// runs at most once (P5), and connections that go silent permanently are detected (P9).

#include "BrokerNetwork.h"
#include "EchoScript.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

namespace {

using Filter = std::function<bool(const wire::PeerMessage&)>;

// Sends a request from one agent to a peer and drops the messages that the filter matches.
struct LossyPair {
    RunCounts runs;
    BrokerNetwork network { { silentScript(), echoScript(runs, true) }, 1 };
    std::uint64_t request { 0 };

    LossyPair(const std::string& target, const std::string& body, const Filter& lost)
    {
        this->network.agents[0].broker->startDraining(this->network.now());
        this->network.transfer = [lost](BrokerNetwork::Message message) {
            std::vector<BrokerNetwork::Message> sent;
            if (!lost(message.content)) {
                sent.push_back(std::move(message));
            }
            return sent;
        };
        this->request = this->network.submit(0, body.empty() ? "GET" : "POST", target, body);
    }

    const CallerRecord& run()
    {
        REQUIRE(this->network.runToEnd(0, this->request));
        return this->network.caller(0, this->request);
    }
};

}

// Guards against a truncated answer reported as complete: with chunked answers only the length in the end message shows
// that the last part was lost.
TEST_CASE("an answer with a lost part is reported as truncated")
{
    for (const std::uint64_t lostOffset : { std::uint64_t { 0 }, std::uint64_t { 1 } }) {
        LossyPair pair("/drawing/1/200000", "", [lostOffset](const wire::PeerMessage& message) {
            return message.has_answer_body() && message.answer_body().offset() >= lostOffset;
        });
        CHECK(pair.run().complete == false);
        CHECK(pair.network.drops(0, "answer_gap") == 1);
    }
}

// Guards against an answer without its head that is forwarded, and against the outcome not-run for a request that was
// run.
TEST_CASE("a request whose answer head is lost ends with an unknown outcome")
{
    LossyPair pair("/layout/1/100", "nick", [](const wire::PeerMessage& message) { return message.has_answer_head(); });
    const CallerRecord& caller = pair.run();
    CHECK(caller.complete == true);
    CHECK(caller.header("Chicoryferry-Outcome") == "unknown");
    CHECK(caller.header("Chicoryferry-Reason") == "answer_gap");
    CHECK(pair.runs["/layout/1/100"] == 1);
}

// Guards against a holder that waits indefinitely for a silent peer, and against the outcome not-run for a granted
// request.
TEST_CASE("a request ends with an unknown outcome when the peer is silent after the grant")
{
    LossyPair pair("/layout/1/100", "nick", [](const wire::PeerMessage& message) {
        return message.has_answer_head() || message.has_answer_body() || message.has_answer_end();
    });
    const auto start = std::chrono::steady_clock::now();
    const CallerRecord& caller = pair.run();
    CHECK(std::chrono::steady_clock::now() - start >= std::chrono::milliseconds(1300));
    CHECK(caller.header("Chicoryferry-Outcome") == "unknown");
    CHECK(caller.header("Chicoryferry-Reason") == "peer_silence");
    CHECK(pair.network.drops(0, "peer_silence") == 1);
}

// Guards against a request body with a missing part that reaches the backend server as complete, and against a run that
// waits for the missing part indefinitely.
TEST_CASE("a request with a lost body part ends with an unknown outcome and never reaches the backend server complete")
{
    bool lost = false;
    LossyPair pair("/corrections/1/10", std::string(300000, 'c'), [&lost](const wire::PeerMessage& message) {
        const bool loses = message.has_request_body() && !lost;
        lost = lost || loses;
        return loses;
    });
    const CallerRecord& caller = pair.run();
    CHECK(caller.header("Chicoryferry-Outcome") == "unknown");
    CHECK(caller.header("Chicoryferry-Reason") == "peer_silence");
    CHECK(pair.runs.empty());
    CHECK(pair.network.runUntilTrue([&] { return pair.network.agents[1].broker->requestsInFlight() == 0; }));
}

// Guards against parts of a request body that are joined across a gap.
TEST_CASE("a gap in a request body ends the run with an unknown outcome")
{
    LossyPair pair("/corrections/1/10", std::string(300000, 'c'), [](const wire::PeerMessage&) { return false; });
    pair.network.transfer = [](BrokerNetwork::Message message) {
        if (message.content.has_request_body()) {
            wire::RequestBody& body = *message.content.mutable_request_body();
            body.set_offset(body.offset() + 1);
        }
        return std::vector<BrokerNetwork::Message> { std::move(message) };
    };
    const CallerRecord& caller = pair.run();
    CHECK(caller.header("Chicoryferry-Outcome") == "unknown");
    CHECK(caller.header("Chicoryferry-Reason") == "request_body_gap");
    CHECK(pair.network.drops(1, "request_body_gap") == 1);
    CHECK(pair.runs.empty());
}
