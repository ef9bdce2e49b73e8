#include "BrokerNetwork.h"
#include "EchoScript.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

using namespace chicoryferry;

namespace {

void checkRefusal(const CallerRecord& caller, unsigned status, const std::string& outcome, const std::string& reason)
{
    REQUIRE(caller.head.has_value());
    CHECK(caller.complete == true);
    CHECK(caller.head->status == status);
    CHECK(caller.header("Chicoryferry-Outcome") == outcome);
    CHECK(caller.header("Chicoryferry-Reason") == reason);
    const nlohmann::json body = nlohmann::json::parse(caller.body);
    CHECK(body.at("outcome") == outcome);
    CHECK(body.at("error") == reason);
    CHECK(caller.head->contentLength == caller.body.size());
}

}

// Guarantee P4 of docs/promises.md: a request that was answered with outcome not-run did not run. Guards against a
// refusal that does not tell the caller that the request cannot have been run, and why.
TEST_CASE("a request of an unknown caller group or service is refused as not run")
{
    RunCounts runs;
    BrokerNetwork network({ echoScript(runs, false) }, 1);
    RequestBroker& broker = *network.agents[0].broker;
    HttpRequestHead head;
    head.method = "GET";
    head.target = "/";
    const std::uint64_t unknownGroup = broker.submit(network.now(), "job", { 0x01020304, 1 }, head);
    CHECK_FALSE(network.caller(0, unknownGroup).hasEnded()); // submit() emits no events synchronously
    const std::uint64_t unknownService = broker.submit(network.now(), "ordering", { 0x0a090001, 1 }, head);
    REQUIRE(network.runToEnd(0, unknownGroup));
    REQUIRE(network.runToEnd(0, unknownService));
    checkRefusal(network.caller(0, unknownGroup), 403, "not-run", "no_group");
    checkRefusal(network.caller(0, unknownService), 503, "not-run", "no_service");
    CHECK(runs.empty());
    CHECK(broker.requestsInFlight() == 0);
}

// Guarantee P4 of docs/promises.md: a request that was answered with outcome not-run did not run. Guards against a
// request that reached the backend server and is reported as not run.
TEST_CASE("a request that was sent but not answered is refused as unknown")
{
    BrokerNetwork network({ [](ScriptedBackend::Connection& connection) { connection.close(); } }, 1);
    const std::uint64_t request = network.submit(0, "POST", "/corrections/1", "nick");
    REQUIRE(network.runToEnd(0, request));
    checkRefusal(network.caller(0, request), 502, "unknown", "connection_closed");
}

// Guarantee P3 of docs/promises.md: each caller gets the complete answer to its own request. Guards against an answer
// truncated after its head that looks complete.
TEST_CASE("an answer that the backend server cuts short is reported as truncated")
{
    BrokerNetwork network({ [](ScriptedBackend::Connection& connection) {
        connection.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
        connection.close();
    } },
        1);
    const std::uint64_t request = network.submit(0, "GET", "/layout/1");
    REQUIRE(network.runToEnd(0, request));
    CHECK(network.caller(0, request).complete == false);
    CHECK(network.caller(0, request).body == "half");
}

// Guarantee P9 of docs/promises.md: connections that go silent permanently are detected within 40 s, and their flows
// and slots are freed. Guards against a disconnected caller whose request keeps the backend server's slot occupied.
TEST_CASE("cancelling a request closes its connection to the backend server and frees the slot")
{
    bool closed = false;
    RunCounts runs;
    const ScriptedBackend::Script echo = echoScript(runs, false);
    BrokerNetwork network({ [&](ScriptedBackend::Connection& connection) {
        closed = closed || connection.clientClosed;
        if (connection.received.find("/held") == std::string::npos) {
            echo(connection);
        }
    } },
        1);
    const std::uint64_t held = network.submit(0, "GET", "/held/1");
    REQUIRE(network.runUntilTrue([&] { return network.agents[0].backend->accepted() == 1; }));
    const std::uint64_t next = network.submit(0, "GET", "/layout/2");
    network.agents[0].broker->cancel(network.now(), held);
    REQUIRE(network.runToEnd(0, next));
    CHECK(network.caller(0, next).complete == true);
    CHECK(network.runUntilTrue([&] { return closed; }));
    CHECK_FALSE(network.caller(0, held).hasEnded());
}
