#include "app/FlowHandoverExecutor.h"
#include "AdmissionFixture.h"
#include "TcpPair.h"
#include "app/HttpEdge.h"
#include "support/Metrics.h"

#include <doctest/doctest.h>

extern "C" {
#include <lwip/priv/tcp_priv.h>
}

using namespace chicoryferry;
using namespace std::chrono_literals;

namespace {

// The components of an agent that a handover involves. Records the messages that it sends.
struct TestAgent {
    explicit TestAgent(const std::string& instance, std::uint64_t incarnation, TcpPair& tcpPair)
        : pair(tcpPair)
        , admission(instance, incarnation, flows)
        , executor(
              instance, flows, admission, stack, edge, metrics,
              [this](const Endpoint&, wire::PeerMessage message) {
                  this->sent.push_back(std::move(message));
                  return true;
              },
              [this](auto, const Endpoint&, std::span<const std::uint8_t> datagram) {
                  this->replayed.emplace_back(datagram.begin(), datagram.end());
              })
        , name(instance)
        , ownIncarnation(incarnation)
    {
        this->admission.viewChanged(AdmissionFixture::makeView(5));
        this->executor.viewChanged(AdmissionFixture::makeView(5));
    }

    // Delivers all recorded messages to the other agent.
    void sendTo(TestAgent& other)
    {
        std::vector<wire::PeerMessage> messages;
        std::swap(messages, this->sent);
        for (wire::PeerMessage& message : messages) {
            message.mutable_sender()->set_instance(this->name);
            message.mutable_sender()->set_incarnation(this->ownIncarnation);
            other.executor.messageReceived(this->now, message);
        }
    }

    HttpEdge::TimePoint now { 1000s };
    TcpPair& pair;
    std::vector<std::string> submitted;
    Metrics metrics;
    FlowTable flows;
    FlowAdmission admission;
    TcpStack stack { [this](std::span<const std::uint8_t> packet) {
                        this->pair.toClient.emplace_back(packet.begin(), packet.end());
                    },
        [this](const TcpEvent& event) {
            if (const auto* accepted = std::get_if<TcpAccepted>(&event)) {
                this->flows.put({ accepted->remote, accepted->local }, { serviceId("job"), FlowState::Open, 0 });
                this->edge.opened(this->now, accepted->connection, "job", accepted->remote);
            } else {
                this->edge.connectionEvent(this->now, event);
            }
        } };
    HttpEdge edge { this->stack, this->metrics,
        { [this](auto, const std::string&, const Endpoint&, const HttpRequestHead& head) {
             this->submitted.push_back(head.target);
             return this->submitted.size();
         },
            [](auto, auto, auto, auto) {}, [](auto, auto, auto) {}, [](auto, auto) {} } };
    std::vector<wire::PeerMessage> sent;
    std::vector<std::vector<std::uint8_t>> replayed;
    FlowHandoverExecutor executor;
    std::string name;
    std::uint64_t ownIncarnation;
};

// Exchanges packets between the caller's TCP stack and one agent.
void run(TcpPair& pair, TestAgent& agent)
{
    for (int round = 0; round < 50; ++round) {
        pair.client.poll();
        agent.stack.poll();
        while (!pair.toServer.empty()) {
            const TcpPair::Packet packet = pair.toServer.front();
            pair.toServer.pop_front();
            agent.stack.input(packet);
        }
        while (!pair.toClient.empty()) {
            const TcpPair::Packet packet = pair.toClient.front();
            pair.toClient.pop_front();
            pair.client.input(packet);
        }
    }
}

struct Handover {
    Handover()
    {
        this->leaving.stack.listen(this->pair.service);
        this->connection = this->pair.client.connect(this->pair.caller, this->pair.service);
        run(this->pair, this->leaving);
        this->leaving.edge.startDraining(this->leaving.now, true);
    }

    TcpPair pair;
    TestAgent leaving { "a-1", 1, this->pair };
    TestAgent next { "a-2", 2, this->pair };
    TestAgent third { "a-3", 3, this->pair };
    std::uint64_t connection { 0 };

    // The agent to which the leaving agent offers the flow first.
    TestAgent& firstReceiver()
    {
        const auto key = FlowKey { this->pair.caller, this->pair.service };
        FlowHandover handover("a-1");
        handover.viewChanged(AdmissionFixture::makeView(5));
        const auto actions = handover.offer(this->leaving.now, key);
        return std::get<SendHandover>(actions.front()).peerAddress.port == 8002 ? this->next : this->third;
    }
};

}

// Guarantee P1 of docs/promises.md: no planned change breaks an established flow. Guards against the loss of a request
// that arrives during the handover: the new host must answer it.
TEST_CASE("an idle flow is handed over together with its unread request")
{
    Handover test;
    test.pair.client.write(test.connection, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    run(test.pair, test.leaving);
    CHECK(test.leaving.submitted.empty());
    test.leaving.executor.poll(test.leaving.now);
    TestAgent& newOwner = test.firstReceiver();
    const FlowKey key { test.pair.caller, test.pair.service };
    const std::vector<std::uint8_t> packet { 1, 2, 3 };
    CHECK(test.leaving.executor.holdPacket(key, {}, packet));

    test.leaving.sendTo(newOwner);
    CHECK(newOwner.submitted == std::vector<std::string> { "/1" });
    CHECK(test.leaving.flows.size() == 1);
    newOwner.sendTo(test.leaving);
    CHECK(test.leaving.flows.size() == 0);
    CHECK(test.leaving.edge.connectionCount() == 0);
    CHECK(test.leaving.replayed == std::vector<std::vector<std::uint8_t>> { packet });
    CHECK_FALSE(test.leaving.executor.holdPacket(key, {}, packet));

    newOwner.edge.brokerEvent(newOwner.now, AnswerStart { 1, { 200, {}, BodyFraming::ContentLength, 2 } });
    newOwner.edge.brokerEvent(newOwner.now, AnswerData { 1, "ok" });
    newOwner.edge.brokerEvent(newOwner.now, AnswerFinish { 1, true });
    run(test.pair, newOwner);
    CHECK(TcpPair::take(test.pair.client, test.connection) == "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    CHECK(test.pair.count<TcpEnded>(test.pair.clientEvents) == 0);
}

// Guarantee P7 of docs/promises.md: a graceful shutdown aborts no request in flight. Guards against a flow that is
// handed over before the caller has the answer to its request in flight.
TEST_CASE("a flow with a request in flight is handed over after its answer")
{
    TcpPair pair;
    TestAgent leaving("a-1", 1, pair);
    leaving.stack.listen(pair.service);
    const std::uint64_t connection = pair.client.connect(pair.caller, pair.service);
    run(pair, leaving);
    pair.client.write(connection, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    run(pair, leaving);
    leaving.edge.startDraining(leaving.now, true);
    leaving.executor.poll(leaving.now);
    CHECK(leaving.sent.empty());
    leaving.edge.brokerEvent(leaving.now, AnswerStart { 1, { 200, {}, BodyFraming::ContentLength, 0 } });
    leaving.edge.brokerEvent(leaving.now, AnswerFinish { 1, true });
    leaving.executor.poll(leaving.now);
    CHECK(leaving.sent.empty()); // the caller has not acknowledged the answer yet
    run(pair, leaving);
    CHECK(TcpPair::take(pair.client, connection) == "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
    tcp_fasttmr(); // the caller's delayed acknowledgement
    run(pair, leaving);
    leaving.executor.poll(leaving.now);
    CHECK(leaving.sent.size() == 1);
}

// Guards against a flow that is cut because no host accepts it: requests that have arrived are run first, and then
// the connection is closed with FIN.
TEST_CASE("a flow that every host refuses is closed after the requests that have arrived are answered")
{
    Handover test;
    test.pair.client.write(test.connection, "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
    run(test.pair, test.leaving);
    test.next.admission.startDraining();
    test.third.admission.startDraining();
    test.leaving.executor.poll(test.leaving.now);
    TestAgent& first = test.firstReceiver();
    TestAgent& second = &first == &test.next ? test.third : test.next;
    for (TestAgent* agent : { &first, &second }) {
        test.leaving.sendTo(*agent);
        agent->sendTo(test.leaving);
    }
    REQUIRE(test.leaving.submitted.size() == 1);
    test.leaving.edge.brokerEvent(test.leaving.now, AnswerStart { 1, { 200, {}, BodyFraming::ContentLength, 0 } });
    test.leaving.edge.brokerEvent(test.leaving.now, AnswerFinish { 1, true });
    run(test.pair, test.leaving);
    CHECK(TcpPair::take(test.pair.client, test.connection).ends_with("Connection: close\r\n\r\n"));
    CHECK(test.pair.count<TcpPeerClosed>(test.pair.clientEvents) == 1);
    CHECK(test.pair.count<TcpEnded>(test.pair.clientEvents) == 0);
}

// Guards against two owners of a flow after a lost handover answer: a repeated handover is answered again, and a
// withdrawal removes the flow.
TEST_CASE("a repeated handover is accepted once, and a withdrawn flow is removed")
{
    Handover test;
    test.leaving.executor.poll(test.leaving.now);
    TestAgent& newOwner = test.firstReceiver();
    test.leaving.sendTo(newOwner);
    newOwner.sent.clear();
    test.leaving.executor.poll(test.leaving.now + 600ms);
    test.leaving.sendTo(newOwner);
    REQUIRE(newOwner.sent.size() == 1);
    CHECK(newOwner.sent.front().handover_answer().accepted());
    CHECK(newOwner.flows.size() == 1);
    newOwner.sent.clear();
    test.pair.toClient.clear();
    test.leaving.executor.poll(test.leaving.now + 6s);
    REQUIRE(test.leaving.sent.size() == 2); // the withdrawal, and the offer to the next host
    test.leaving.sent.resize(1);
    test.leaving.sendTo(newOwner);
    CHECK(newOwner.flows.size() == 0);
    CHECK(newOwner.edge.connectionCount() == 0);
    CHECK(test.pair.toClient.empty());
}
