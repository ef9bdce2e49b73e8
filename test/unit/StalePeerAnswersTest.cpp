// Guarantees P3 and P5 of docs/promises.md: each caller gets the complete answer to its own request (P3), and an
// idempotency key runs at most once (P5).

#include "BrokerNetwork.h"
#include "EchoScript.h"

#include <doctest/doctest.h>

using namespace chicoryferry;

namespace {

bool isAnswer(const wire::PeerMessage& message)
{
    return message.has_answer_head() || message.has_answer_body() || message.has_answer_end();
}

// Two agents: the first accepts requests and the second runs them. Records the answer messages.
struct RecordedPair {
    RunCounts runs;
    BrokerNetwork network { { silentScript(), echoScript(runs, true) }, 1 };
    std::vector<BrokerNetwork::Message> answers;

    RecordedPair()
    {
        this->network.agents[0].broker->startDraining(this->network.now());
        this->network.transfer = [this](BrokerNetwork::Message message) {
            if (isAnswer(message.content)) {
                this->answers.push_back(message);
            }
            return std::vector<BrokerNetwork::Message> { std::move(message) };
        };
    }
};

}

// Guards against mixed-up answers: late answer messages of an ended request must not reach the current request.
TEST_CASE("answers to an ended request are dropped and counted, and do not reach another request")
{
    RecordedPair pair;
    BrokerNetwork& network = pair.network;
    const std::uint64_t first = network.submit(0, "GET", "/layout/first/1000");
    REQUIRE(network.runToEnd(0, first));
    const std::vector<BrokerNetwork::Message> late = pair.answers;
    REQUIRE(late.size() >= 3);
    const std::uint64_t second = network.submit(0, "GET", "/layout/second/1000");
    // Repeats the old answers before each answer message of the second request.
    network.transfer = [&late](BrokerNetwork::Message message) {
        std::vector<BrokerNetwork::Message> sent;
        if (isAnswer(message.content)) {
            sent = late;
        }
        sent.push_back(std::move(message));
        return sent;
    };
    REQUIRE(network.runToEnd(0, second));
    CHECK(network.caller(0, second).complete == true);
    CHECK(network.caller(0, second).body == echoAnswer("/layout/second/1000", ""));
    CHECK(network.caller(0, first).body == echoAnswer("/layout/first/1000", ""));
    CHECK(network.drops(0, "answer_head_without_grant") >= 1);
    CHECK(network.drops(0, "answer_body_without_grant") >= 1);
    CHECK(network.drops(0, "answer_end_without_grant") >= 1);
}

// Guards against mixed-up answers: an answer must match the claim, not just the request number.
TEST_CASE("an answer under another claim is dropped")
{
    RecordedPair pair;
    BrokerNetwork& network = pair.network;
    const std::uint64_t request = network.submit(0, "GET", "/layout/1/1000");
    network.transfer = [](BrokerNetwork::Message message) {
        std::vector<BrokerNetwork::Message> sent;
        if (message.content.has_answer_body()) {
            sent.push_back(message);
            sent.back().content.mutable_answer_body()->set_claim(message.content.answer_body().claim() + 1);
            sent.back().content.mutable_answer_body()->set_data(std::string(1000, '?'));
        }
        sent.push_back(std::move(message));
        return sent;
    };
    REQUIRE(network.runToEnd(0, request));
    CHECK(network.caller(0, request).complete == true);
    CHECK(network.caller(0, request).body == echoAnswer("/layout/1/1000", ""));
    CHECK(network.drops(0, "answer_body_without_grant") == 1);
}

// Guards against a second run of a request whose grant is delivered twice.
TEST_CASE("a repeated grant starts no second run")
{
    RecordedPair pair;
    BrokerNetwork& network = pair.network;
    std::vector<BrokerNetwork::Message> grants;
    network.transfer = [&grants](BrokerNetwork::Message message) {
        std::vector<BrokerNetwork::Message> sent;
        if (message.content.has_grant()) {
            grants.push_back(message);
            sent.push_back(message);
        }
        sent.push_back(std::move(message));
        return sent;
    };
    const std::uint64_t request = network.submit(0, "POST", "/corrections/1/10", "nick");
    REQUIRE(network.runToEnd(0, request));
    REQUIRE(grants.size() == 1);
    network.messages.push_back(grants.front()); // repeats the grant after the request has ended
    network.step();
    network.step();
    CHECK(network.caller(0, request).complete == true);
    CHECK(pair.runs["/corrections/1/10"] == 1);
    CHECK(network.agents[1].backend->accepted() == 1);
    CHECK(network.drops(1, "grant_repeated") == 1);
}
