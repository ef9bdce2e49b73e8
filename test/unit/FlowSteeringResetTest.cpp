#include "SteeringFixture.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using std::chrono::milliseconds;

// Guards against a reset of an open flow: the first agent answers late and the others refuse, while the caller already
// has the first agent's answer (found in arriaga-bordado-grown, trouble-1 with seed 904154556023: FLOW).
TEST_CASE("a flow that a silent agent may have opened is not reset when the others refuse")
{
    SteeringFixture balancer;
    balancer.sendFirst();
    const Endpoint silent = balancer.asked().back();
    balancer.tick(milliseconds(31));
    REQUIRE(balancer.actions.size() == 1);
    const Endpoint second = balancer.asked().back();
    CHECK(second != silent);
    balancer.receiveVerdict(second, FlowVerdict::RefusedFull, milliseconds(33));
    CHECK_FALSE(balancer.resets());
    balancer.tick(milliseconds(100));
    CHECK_FALSE(balancer.resets());
    SUBCASE("the silent agent admits it late")
    {
        balancer.receiveVerdict(silent, FlowVerdict::Admitted, milliseconds(110));
        balancer.sendLater();
        CHECK(balancer.queried().size() == 2); // both may have the flow
        balancer.receiveVerdict(silent, FlowVerdict::Owned, milliseconds(112));
        balancer.sendLater();
        CHECK(balancer.actions.size() == 1);
        CHECK(balancer.asked().back() == silent);
    }
    SUBCASE("the caller sends its next packet before the verdict of the silent agent")
    {
        balancer.sendLater();
        CHECK(balancer.queried().size() == 2); // both agents are asked
        balancer.receiveVerdict(silent, FlowVerdict::Owned, milliseconds(112));
        balancer.tick(milliseconds(3000));
        CHECK_FALSE(balancer.resets());
        balancer.sendLater();
        CHECK(balancer.asked().back() == silent);
    }
}

// Guards against a caller that waits although every agent has refused.
TEST_CASE("a flow that every agent refuses is reset immediately")
{
    SteeringFixture balancer;
    balancer.sendFirst();
    balancer.receiveVerdict(balancer.asked().back(), FlowVerdict::RefusedFull, milliseconds(2));
    balancer.receiveVerdict(balancer.asked().back(), FlowVerdict::RefusedFull, milliseconds(4));
    CHECK(balancer.resets());
    CHECK(balancer.steering.openingCount() == 0);
}

// Guards against a negative wait limit, which the agent would read as a limit of weeks: it arises when the caller's
// second copy of the first packet is older than the timeout of the route.
TEST_CASE("a copy of a first packet older than the route's timeout may not wait for a slot")
{
    SteeringFixture balancer { 2, milliseconds(500) };
    balancer.sendFirst();
    balancer.receiveVerdict(balancer.asked().back(), FlowVerdict::Admitted, milliseconds(2));
    balancer.sendFirst(2);
    REQUIRE(balancer.actions.size() == 1);
    CHECK(std::get<SteerPacket>(balancer.actions.back()).waitLimit == milliseconds(0));
}

// Guards against FLOW: the balancer forgets an admitted flow when its owner counts as silent, and resets it.
TEST_CASE("an admitted flow is not reset after a retransmission that finds its owner silent")
{
    SteeringFixture balancer { 6 };
    balancer.sendFirst();
    const Endpoint owner = balancer.asked().back();
    balancer.receiveVerdict(owner, FlowVerdict::Admitted, milliseconds(2));
    balancer.placement.recordVerdictTimeout(owner);
    balancer.sendFirst(1, milliseconds(200));
    balancer.refuseEverywhere(milliseconds(202));
    CHECK_FALSE(balancer.resets());
}

// Guards against FLOW: the balancer forgets a flow that two agents admitted, and resets it.
TEST_CASE("a flow that two agents admitted is not reset after a retransmission")
{
    SteeringFixture balancer { 6 };
    balancer.sendFirst();
    const Endpoint first = balancer.asked().back();
    balancer.tick(milliseconds(31));
    balancer.receiveVerdict(balancer.asked().back(), FlowVerdict::Admitted, milliseconds(32));
    balancer.receiveVerdict(first, FlowVerdict::Admitted, milliseconds(33));
    balancer.sendFirst(1, milliseconds(200));
    balancer.refuseEverywhere(milliseconds(202));
    CHECK_FALSE(balancer.resets());
}

// Guards against FLOW: another balancer placed the flow, and this one sees only the retransmission and resets it.
TEST_CASE("a retransmission without its earlier transmissions does not lead to a reset")
{
    SteeringFixture balancer;
    balancer.sendFirst(1);
    balancer.refuseEverywhere(milliseconds(2));
    CHECK_FALSE(balancer.resets());
}

// Guards against FLOW: while the flow is held here, the routers move it and another balancer places a retransmission.
TEST_CASE("a flow refused after a retransmission that did not arrive here is not reset")
{
    SteeringFixture balancer;
    balancer.sendFirst();
    const Endpoint owner = balancer.asked().back();
    balancer.receiveVerdict(owner, FlowVerdict::Admitted, milliseconds(2));
    SUBCASE("no retransmission has arrived")
    {
        balancer.receiveVerdict(owner, FlowVerdict::RefusedFull, milliseconds(250));
        balancer.refuseEverywhere(milliseconds(252));
    }
    SUBCASE("only the second retransmission has arrived")
    {
        balancer.sendFirst(2, milliseconds(600));
        balancer.receiveVerdict(owner, FlowVerdict::RefusedFull, milliseconds(602));
        balancer.refuseEverywhere(milliseconds(604));
    }
    CHECK_FALSE(balancer.resets());
}

// Guards against FLOW: a balancer without usable agents resets a flow that another one placed.
TEST_CASE("a retransmission that waits for an agent in vain does not lead to a reset")
{
    SteeringFixture balancer { 0 };
    balancer.sendFirst(1);
    balancer.tick(milliseconds(151));
    CHECK_FALSE(balancer.resets());
}

// Guards against FLOW: a balancer at its limit of openings resets a flow that another one placed.
TEST_CASE("a retransmission above the limit of openings does not lead to a reset")
{
    SteeringFixture balancer { 0 };
    constexpr std::uint16_t maximum = 4096;
    for (std::uint16_t port = 1; port <= maximum; ++port) {
        balancer.sendFirst(0, {}, { { SteeringFixture::caller.address, port }, SteeringFixture::route });
    }
    balancer.sendFirst(0, {}, { { SteeringFixture::caller.address, maximum + 1 }, SteeringFixture::route });
    CHECK(balancer.resets());
    balancer.sendFirst(1, {}, { { SteeringFixture::caller.address, maximum + 2 }, SteeringFixture::route });
    CHECK_FALSE(balancer.resets());
}

// Guards against FLOW: a balancer with an older configuration resets a flow on a route that was added meanwhile.
TEST_CASE("a packet on a route that the balancer has never known does not lead to a reset")
{
    SteeringFixture balancer;
    balancer.applyRoutes(2, {});
    balancer.sendLater();
    CHECK(balancer.resets()); // the route has been removed
    SteeringFixture outdated;
    outdated.directory = HostDirectory();
    outdated.applyRoutes(1, {});
    outdated.sendLater();
    CHECK_FALSE(outdated.resets());
}

// Guards against callers that wait although the flow cannot be open anywhere.
TEST_CASE("a flow is reset when it is refused and each transmission arrived here")
{
    SteeringFixture balancer;
    balancer.sendFirst();
    balancer.receiveVerdict(balancer.asked().back(), FlowVerdict::Admitted, milliseconds(2));
    balancer.sendFirst(1, milliseconds(200));
    balancer.sendFirst(2, milliseconds(600));
    balancer.receiveVerdict(balancer.asked().back(), FlowVerdict::RefusedFull, milliseconds(650));
    balancer.refuseEverywhere(milliseconds(652));
    CHECK(balancer.resets());
}

// Guards against callers that wait until they give up although slots have become free.
TEST_CASE("a retransmission is offered again after the flow was refused without a reset")
{
    SteeringFixture balancer;
    balancer.sendFirst(1);
    balancer.refuseEverywhere(milliseconds(2));
    balancer.sendFirst(2, milliseconds(400));
    CHECK(balancer.asked().size() == 1);
}

// Guards against overloaded links: flows that no agent answers are offered again and again.
TEST_CASE("a flow whose offers are not answered is only offered again to the last agent with each retransmission")
{
    SteeringFixture balancer;
    balancer.sendFirst();
    balancer.tick(milliseconds(30));
    const Endpoint last = balancer.asked().back();
    balancer.tick(milliseconds(60));
    CHECK(balancer.asked().empty());
    balancer.tick(milliseconds(199));
    CHECK(balancer.asked().empty());
    balancer.sendFirst(1, milliseconds(200));
    CHECK(balancer.asked() == std::vector { last });
    SUBCASE("it does not answer")
    {
        balancer.tick(milliseconds(1460));
        CHECK(balancer.asked().empty());
        CHECK(balancer.steering.openingCount() == 0);
        CHECK_FALSE(balancer.resets());
    }
    SUBCASE("it refuses")
    {
        balancer.receiveVerdict(last, FlowVerdict::RefusedFull, milliseconds(202));
        balancer.tick(milliseconds(243));
        CHECK(balancer.asked().size() == 1);
    }
    SUBCASE("it admits")
    {
        balancer.receiveVerdict(last, FlowVerdict::Admitted, milliseconds(202));
        CHECK(balancer.steering.flowCount() == 1);
    }
}

// Guards against FLOW: a first packet delayed on another path makes the balancer forget that the flow is open.
TEST_CASE("a first packet that arrives after later packets of its flow does not lead to a reset")
{
    SteeringFixture balancer;
    balancer.sendLater();
    balancer.sendFirst(0, milliseconds(1));
    CHECK(balancer.asked().empty());
    balancer.refuseEverywhere(milliseconds(3));
    CHECK_FALSE(balancer.resets());
    balancer.receiveVerdict({ 1, 7000 }, FlowVerdict::Owned, milliseconds(4));
    CHECK(balancer.asked() == std::vector { Endpoint { 1, 7000 } });
}
