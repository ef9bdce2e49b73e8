#include "coordination/HostAdmission.h"
#include "coordination/FlowPlacement.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <vector>

using namespace chicoryferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const HostAdmission::TimePoint start { std::chrono::hours(1) };
const Endpoint balancer { 0x0A000001, 7720 };
const Endpoint otherBalancer { 0x0A000002, 7720 };
const Endpoint caller { 0x64400007, 40001 };
const Endpoint route { 0xC6120001, 443 };
constexpr std::array<std::uint8_t, 4> bytes { 1, 2, 3, 4 };
constexpr std::uint32_t hostSequence = 5000;

PayloadMetadata oneRequest(std::span<const std::uint8_t>) { return { "request-1", 0 }; }
PayloadMetadata statusOk(std::span<const std::uint8_t>) { return { "", 200 }; }

FlowPacket packetBetween(const Endpoint& source, const Endpoint& destination)
{
    FlowPacket packet;
    packet.source = source;
    packet.destination = destination;
    return packet;
}

// The admission of an agent with one backend server. Records the actions of the last call.
class Agent {
public:
    explicit Agent(seconds age = seconds(3600))
        : admission(1, serviceHash("job"), oneRequest, statusOk, start - age, seconds(60))
    {
    }

    void offer(const std::string& service = "job", const Endpoint& from = caller, std::uint32_t copy = 0)
    {
        this->actions.clear();
        FlowPacket packet = packetBetween(from, route);
        packet.opens = true;
        packet.acknowledgement = copy;
        this->admission.handleNewFlow({ balancer, milliseconds(40), 1, FlowUrgency::InTime, 2 }, serviceHash(service),
            packet, bytes, start, this->actions);
    }

    void openFlow()
    {
        this->offerAnswered();
        this->fromCaller([](FlowPacket& packet) { packet.payload = bytes; });
    }

    template <typename Change>
    void fromCaller(Change change, SteeringPurpose purpose = SteeringPurpose::KnownFlow, const Endpoint& via = balancer)
    {
        this->actions.clear();
        FlowPacket packet = packetBetween(caller, route);
        packet.acknowledges = true;
        packet.acknowledgement = hostSequence + 1;
        change(packet);
        this->admission.handleCallerPacket(via, serviceHash("job"), purpose, packet, bytes, start, this->actions);
    }

    void query(std::uint32_t acknowledgement = hostSequence + 1)
    {
        this->actions.clear();
        this->admission.handleQuery(otherBalancer, { { caller, route }, acknowledgement }, start, this->actions);
    }

    // Offers a flow that the backend server accepts.
    void offerAnswered()
    {
        this->offer();
        this->fromHost([](FlowPacket& packet) {
            packet.opens = true;
            packet.sequence = hostSequence;
        });
    }

    // Opens a flow whose caller has not sent a request yet.
    void openFlowWithoutRequest()
    {
        this->offerAnswered();
        this->fromCaller([](FlowPacket&) {});
    }

    void tickAfter(milliseconds delay)
    {
        this->actions.clear();
        this->admission.tick(start + delay, this->actions);
    }

    template <typename Change> void fromHost(Change change)
    {
        this->actions.clear();
        FlowPacket packet = packetBetween(route, caller);
        packet.acknowledges = true;
        change(packet);
        this->admission.handleBackendServerPacket(packet, bytes, start, this->actions);
    }

    // The backend server returns a packet of the caller.
    void returned()
    {
        this->actions.clear();
        FlowPacket packet = packetBetween(caller, route);
        packet.returned = true;
        this->admission.handleBackendServerPacket(packet, bytes, start, this->actions);
    }

    std::vector<FlowVerdict> verdicts() const
    {
        std::vector<FlowVerdict> found;
        for (const AgentAction& action : this->actions) {
            if (const auto* verdict = std::get_if<SendVerdict>(&action)) {
                found.push_back(verdict->verdict);
            }
        }
        return found;
    }

    bool delivered() const
    {
        return std::any_of(this->actions.begin(), this->actions.end(),
            [](const AgentAction& action) { return std::holds_alternative<DeliverToBackendServer>(action); });
    }

    HostAdmission admission;
    std::vector<AgentAction> actions;
};

}

// Guards against a flow that reaches a different service after an address has been reassigned.
TEST_CASE("packets for another service are not delivered")
{
    Agent agent;
    agent.offer("drawing");
    CHECK(agent.verdicts() == std::vector { FlowVerdict::WrongService });
    CHECK_FALSE(agent.delivered());
    agent.admission.setService(serviceHash("drawing"), agent.actions);
    agent.fromCaller([](FlowPacket&) {});
    CHECK(agent.verdicts() == std::vector { FlowVerdict::WrongService });
    CHECK_FALSE(agent.delivered());
}

// Guards against a caller that waits for a backend server that has lost the flow, and against a reset of a flow that
// has ended normally.
TEST_CASE("a flow is lost when the backend server returns its packet, unless the flow has ended")
{
    Agent agent;
    agent.openFlow();
    SUBCASE("open")
    {
        agent.returned();
        CHECK(agent.verdicts() == std::vector { FlowVerdict::Lost });
        CHECK(std::any_of(agent.actions.begin(), agent.actions.end(),
            [](const AgentAction& action) { return std::holds_alternative<ReportLostRequest>(action); }));
    }
    SUBCASE("ended")
    {
        agent.fromHost([](FlowPacket& packet) {
            packet.payload = bytes;
            packet.finishes = true;
        });
        agent.fromCaller([](FlowPacket& packet) { packet.finishes = true; });
        agent.returned();
        CHECK(agent.verdicts().empty());
    }
}

// Guards against two backend servers for one flow: the caller has completed the handshake with another one.
TEST_CASE("a half-open flow is dropped when its caller completed the handshake with another host")
{
    Agent agent;
    agent.offer();
    agent.fromHost([](FlowPacket& packet) {
        packet.opens = true;
        packet.sequence = hostSequence;
    });
    agent.fromCaller([](FlowPacket& packet) { packet.acknowledgement = 77; });
    CHECK(agent.verdicts() == std::vector { FlowVerdict::NotFound });
    CHECK_FALSE(agent.delivered());
    CHECK(agent.admission.flowCount() == 0);
}

// Guards against flow owners that stay unknown after a balancer was replaced, and against packets that are delivered
// by a host that does not own the flow.
TEST_CASE("an agent answers a query with what it knows of the flow and delivers nothing")
{
    Agent agent;
    SUBCASE("the owner")
    {
        agent.openFlow();
        agent.query();
        CHECK(agent.verdicts() == std::vector { FlowVerdict::Owned });
        CHECK(std::get<SendVerdict>(agent.actions.back()).balancer == otherBalancer);
    }
    SUBCASE("the caller has accepted another backend server's answer")
    {
        agent.offer();
        agent.fromHost([](FlowPacket& packet) {
            packet.opens = true;
            packet.sequence = hostSequence;
        });
        agent.query(77);
        CHECK(agent.verdicts() == std::vector { FlowVerdict::NotFound });
        CHECK(agent.admission.flowCount() == 0);
    }
    SUBCASE("an agent that has seen all flows of its backend server")
    {
        agent.query();
        CHECK(agent.verdicts() == std::vector { FlowVerdict::NotFound });
    }
    SUBCASE("an agent whose backend server may hold a flow that is older than the agent")
    {
        Agent restarted(seconds(60));
        restarted.query();
        CHECK(restarted.verdicts() == std::vector { FlowVerdict::MayHold });
    }
    SUBCASE("an agent that is older than any open flow")
    {
        Agent restarted(seconds(61));
        restarted.query();
        CHECK(restarted.verdicts() == std::vector { FlowVerdict::NotFound });
    }
    SUBCASE("an agent that has just started")
    {
        Agent restarted(seconds(1));
        restarted.query();
        CHECK(restarted.verdicts() == std::vector { FlowVerdict::MayHold });
        CHECK_FALSE(restarted.delivered());
    }
    CHECK_FALSE(agent.delivered());
}

// Guards against a search with packets on trial for each flow after all agents have restarted, though a backend server
// that is at work shows by its packets which flows it holds.
TEST_CASE("an agent that has just started owns the flows on which its backend server sends data")
{
    Agent agent(seconds(1));
    agent.fromHost([](FlowPacket& packet) { packet.payload = bytes; });
    CHECK(agent.verdicts().empty());
    agent.query();
    CHECK(agent.verdicts() == std::vector { FlowVerdict::Owned });
    Agent opening(seconds(1));
    opening.fromHost([](FlowPacket& packet) { packet.opens = true; });
    opening.query();
    CHECK(opening.verdicts() == std::vector { FlowVerdict::MayHold });
    // Data of a flow that has ended proves nothing to an agent that has seen all flows.
    Agent longRunning;
    longRunning.fromHost([](FlowPacket& packet) { packet.payload = bytes; });
    CHECK(longRunning.admission.flowCount() == 0);
}

// Guards against flows that are lost when the agent restarts although the backend server still holds them.
TEST_CASE("a restarted agent recovers the flows that its backend server holds")
{
    Agent agent(seconds(1));
    agent.fromCaller([](FlowPacket&) {}, SteeringPurpose::Recover);
    CHECK(agent.delivered());
    CHECK(agent.verdicts().empty());
    agent.fromHost([](FlowPacket& packet) { packet.payload = bytes; });
    CHECK(agent.verdicts() == std::vector { FlowVerdict::Owned });
}

// Guards against new flows at an agent that is shutting down.
TEST_CASE("a leaving agent refuses new flows and keeps its existing ones")
{
    Agent agent;
    agent.openFlow();
    agent.admission.refuseNewFlows();
    agent.offer("job", { caller.address, 40002 });
    CHECK(agent.verdicts() == std::vector { FlowVerdict::RefusedLeaving });
    agent.fromCaller([](FlowPacket&) {});
    CHECK(agent.delivered());
    CHECK(agent.admission.unfinished() == 1);
}

// Guards against callers that wait for a backend server that does not answer. An answer ends the silence early.
TEST_CASE("an unanswered first packet is refused after 30 ms, and the backend server counts as silent for 0.5 s")
{
    Agent agent;
    agent.offer();
    agent.actions.clear();
    agent.admission.tick(start + milliseconds(31), agent.actions);
    CHECK(agent.verdicts() == std::vector { FlowVerdict::RefusedByBackendServer });
    CHECK(agent.admission.isBackendServerSilent(start + milliseconds(500)));
    CHECK_FALSE(agent.admission.isBackendServerSilent(start + milliseconds(532)));
    agent.fromHost([](FlowPacket&) {});
    CHECK_FALSE(agent.admission.isBackendServerSilent(start + milliseconds(100)));
}

// Guards against FLOW: a half-open backend server repeats its SYN+ACK, and the agent claims a flow that is open
// elsewhere.
TEST_CASE("the repeated answer to a first packet does not make a restarted agent the owner of the flow")
{
    Agent agent(seconds(1));
    agent.fromCaller([](FlowPacket&) {}, SteeringPurpose::Recover);
    CHECK(agent.delivered());
    agent.fromHost([](FlowPacket& packet) { packet.opens = true; });
    CHECK(agent.verdicts().empty());
}

// Guards against FLOW: later packets of a flow reach a backend server that the caller did not accept.
TEST_CASE("no packet of a flow is delivered after its caller accepted another backend server")
{
    Agent agent(seconds(1));
    agent.offer();
    agent.fromHost([](FlowPacket& packet) {
        packet.opens = true;
        packet.sequence = hostSequence;
    });
    const auto acceptsAnother = [](FlowPacket& packet) { packet.acknowledgement = 77; };
    agent.fromCaller(acceptsAnother, SteeringPurpose::Recover);
    CHECK_FALSE(agent.delivered());
    agent.fromCaller(acceptsAnother, SteeringPurpose::Recover);
    CHECK_FALSE(agent.delivered());
    agent.fromCaller(acceptsAnother);
    CHECK_FALSE(agent.delivered());
    CHECK(agent.verdicts() == std::vector { FlowVerdict::NotFound });
}

// Guards against FLOW: a balancer with a wrong owner is never told, and each packet reaches a wrong backend server.
TEST_CASE("a balancer is told when the backend server returns a packet that was sent to the owner")
{
    Agent agent(seconds(1));
    agent.fromCaller([](FlowPacket&) {});
    CHECK(agent.delivered());
    agent.returned();
    CHECK(agent.verdicts() == std::vector { FlowVerdict::NotFound });
}

// Guards against balancers that search a flow until its caller gives up, because nobody says that it is gone.
TEST_CASE("an agent answers an attempt to recover a flow that its backend server does not hold")
{
    Agent restarted(seconds(1));
    restarted.fromCaller([](FlowPacket&) {}, SteeringPurpose::Recover);
    CHECK(restarted.verdicts().empty());
    restarted.returned();
    CHECK(restarted.verdicts() == std::vector { FlowVerdict::NotFound });
    Agent longRunning;
    longRunning.fromCaller([](FlowPacket&) {}, SteeringPurpose::Recover);
    CHECK_FALSE(longRunning.delivered());
    CHECK(longRunning.verdicts() == std::vector { FlowVerdict::NotFound });
}

// Guards against a slot for a held flow whose caller has opened it at another backend server meanwhile.
TEST_CASE("a held flow is dropped when a later packet shows that it is open elsewhere")
{
    Agent agent;
    for (std::uint16_t port = 1; port <= 4; ++port) {
        agent.offer("job", { caller.address, port });
    }
    agent.offer();
    CHECK_FALSE(agent.delivered());
    REQUIRE(agent.admission.currentLoad(start).held == 1);
    agent.fromCaller([](FlowPacket&) {}, SteeringPurpose::Recover);
    CHECK_FALSE(agent.delivered());
    CHECK(agent.admission.currentLoad(start).held == 0);
}

// Guards against FLOW: a restarted agent withholds the packets of a flow that its backend server opened before, and
// denies it. A retransmission may wait in its queue for seconds.
TEST_CASE("a restarted agent delivers later packets of a flow whose retransmission it has held or delivered")
{
    seconds age(1);
    SUBCASE("just started") { }
    SUBCASE("younger than a flow may be") { age = seconds(30); }
    for (const bool held : { true, false }) {
        CAPTURE(held);
        Agent agent(age);
        for (std::uint16_t port = 1; held && port <= 4; ++port) {
            agent.offer("job", { caller.address, port });
        }
        agent.offer();
        agent.fromCaller([](FlowPacket&) {}, SteeringPurpose::Recover);
        agent.fromCaller([](FlowPacket&) {}, SteeringPurpose::Recover);
        CHECK(agent.delivered());
        agent.query();
        CHECK(agent.verdicts() == std::vector { FlowVerdict::MayHold });
    }
}

// Guards against FLOW: a restarted agent denies a flow that its backend server may have opened before, because the
// backend server has not answered a retransmission.
TEST_CASE("a restarted agent does not deny a flow whose retransmission its backend server has left unanswered")
{
    Agent agent(seconds(30));
    agent.offer("job", caller, 1);
    SUBCASE("a balancer asks for the flow") { }
    SUBCASE("a balancer sends a packet of the flow")
    {
        agent.fromCaller([](FlowPacket&) {});
        CHECK(agent.delivered());
        CHECK(agent.verdicts().empty());
    }
    agent.query();
    CHECK(agent.verdicts() == std::vector { FlowVerdict::MayHold });
}

// Guards against FLOW: the backend server returns a late copy of the first packet, and the agent forgets the open flow.
TEST_CASE("a late copy of the first packet of an open flow is not delivered and the agent keeps the flow")
{
    Agent agent;
    agent.openFlow();
    agent.offer();
    CHECK_FALSE(agent.delivered());
    CHECK(agent.verdicts() == std::vector { FlowVerdict::Owned });
    agent.fromCaller([](FlowPacket&) {});
    CHECK(agent.delivered());
}

// Guards against FLOW: a backend server answers a packet delivered on trial with a reset, as on a flow that it has
// ended.
TEST_CASE("a reset in answer to a packet delivered on trial neither reaches the caller nor proves ownership")
{
    Agent agent(seconds(1));
    agent.fromCaller([](FlowPacket&) {}, SteeringPurpose::Recover);
    CHECK(agent.delivered());
    agent.fromHost([](FlowPacket& packet) { packet.resets = true; });
    CHECK(agent.actions.empty());
}

// Guards against FLOW: a restarted agent refuses a retransmission of a first packet that its backend server has
// accepted.
TEST_CASE("an agent that has just started does not refuse a retransmission as one that cannot be open here")
{
    Agent agent(seconds(1));
    agent.admission.refuseNewFlows();
    agent.offer("job", caller, 1);
    CHECK(agent.verdicts() == std::vector { FlowVerdict::RefusedByBackendServer });
    Agent older(seconds(2));
    older.admission.refuseNewFlows();
    older.offer("job", caller, 1);
    CHECK(older.verdicts() == std::vector { FlowVerdict::RefusedLeaving });
}

// Guards against FLOW: the agent forgets an open flow whose caller pauses before its first request, and denies it.
TEST_CASE("an open flow that has not carried a request yet is kept like any open flow")
{
    Agent agent;
    agent.openFlowWithoutRequest();
    for (milliseconds delay { 100 }; delay <= seconds(60); delay += milliseconds(500)) {
        agent.tickAfter(delay);
    }
    agent.query();
    CHECK(agent.verdicts() == std::vector { FlowVerdict::Owned });
    CHECK(agent.admission.occupied() == 0); // the flow reserves no slot
    agent.fromCaller([](FlowPacket& packet) { packet.payload = bytes; });
    CHECK(agent.delivered());
    CHECK(agent.admission.occupied() == 1);
}

// Guards against FLOW: the backend server returns a late copy of the first packet, and the agent forgets the open flow.
TEST_CASE("a late copy of the first packet of an open flow without a request is not delivered")
{
    Agent agent;
    agent.openFlowWithoutRequest();
    agent.offer();
    CHECK_FALSE(agent.delivered());
    CHECK(agent.verdicts() == std::vector { FlowVerdict::Owned });
}

// Guards against a reset of a caller that pauses after a handshake whose last packet was lost. The backend server
// repeats its answer after up to 1.6 s.
TEST_CASE("a flow that the backend server has answered is kept while it may repeat its answer")
{
    Agent agent;
    agent.offerAnswered();
    agent.tickAfter(milliseconds(4500));
    CHECK(agent.admission.flowCount() == 1);
    agent.tickAfter(milliseconds(5500));
    CHECK(agent.admission.flowCount() == 0);
}

TEST_CASE("a flow that the backend server has not answered is forgotten when its caller has given up")
{
    Agent agent;
    agent.offer();
    agent.tickAfter(milliseconds(1000));
    CHECK(agent.admission.flowCount() == 1);
    agent.tickAfter(milliseconds(2000));
    CHECK(agent.admission.flowCount() == 0);
}

// Guards against a search in which every agent delivers whole packets of a lost flow again, each time that its caller
// repeats one.
TEST_CASE("a restarted agent denies a flow of which its backend server has returned a packet")
{
    Agent agent(seconds(1));
    agent.fromCaller([](FlowPacket&) {}, SteeringPurpose::Recover);
    agent.returned();
    REQUIRE(agent.verdicts() == std::vector { FlowVerdict::NotFound });
    SUBCASE("a balancer asks for it")
    {
        agent.query();
        CHECK(agent.verdicts() == std::vector { FlowVerdict::NotFound });
    }
    SUBCASE("a balancer sends another packet of it")
    {
        agent.fromCaller([](FlowPacket&) {}, SteeringPurpose::Recover);
        CHECK_FALSE(agent.delivered());
        CHECK(agent.verdicts() == std::vector { FlowVerdict::NotFound });
    }
    SUBCASE("the caller opens a flow from the same port")
    {
        agent.openFlow();
        CHECK(agent.delivered());
        agent.query();
        CHECK(agent.verdicts() == std::vector { FlowVerdict::Owned });
    }
    SUBCASE("nobody has asked for it for some time")
    {
        agent.tickAfter(seconds(3));
        agent.query();
        CHECK(agent.verdicts() == std::vector { FlowVerdict::MayHold });
    }
}
