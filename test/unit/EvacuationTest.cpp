// Load: an availability zone that the operator evacuates while flows arrive. Guards against EVAC (a new flow reaches a
// backend server of the zone) and against open flows that are reset because of it.

#include "SteeringFixture.h"
#include "app/DirectorySnapshot.h"
#include "coordination/HostAdmission.h"
#include "platform/StoreDocuments.h"
#include "state/EvacuatedZones.h"

#include <doctest/doctest.h>
#include <string>

using namespace chicoryferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const EvacuatedZones::TimePoint start { std::chrono::hours(1) };

bool isIn(const Endpoint& agent, std::uint32_t zone) { return agent.address % 3 == zone; }

void setZones(SteeringFixture& balancer, std::uint32_t agentCount)
{
    std::vector<FlowPlacement::Agent> agents;
    for (std::uint32_t number = 1; number <= agentCount; ++number) {
        const Endpoint address { number, 7000 };
        agents.push_back({ address,
            { std::to_string(number), "job", address, "zone-" + std::to_string(number % 3), 2, false, {}, 0 },
            balancer.start });
    }
    balancer.placement.setAgents(agents, balancer.start);
}

EvacuationChanged change(const std::string& zone, bool evacuated, std::uint64_t revision)
{
    return { zone, evacuated, revision };
}

}

TEST_CASE("no new flow is placed in an evacuated zone, and open flows stay where they are")
{
    SteeringFixture balancer { 0 };
    setZones(balancer, 30);
    std::vector<std::pair<FlowKey, Endpoint>> open;
    for (std::uint16_t port = 1; port <= 60; ++port) {
        const FlowKey key { { SteeringFixture::caller.address, port }, SteeringFixture::route };
        balancer.sendFirst(0, {}, key);
        open.emplace_back(key, balancer.asked().back());
        balancer.actions.clear();
        balancer.steering.handleVerdict(
            open.back().second, key, FlowVerdict::Admitted, balancer.start, balancer.actions);
        balancer.sendLater({}, key);
    }
    balancer.placement.setEvacuatedZones({ "zone-1" });
    for (std::uint16_t port = 1001; port <= 1200; ++port) {
        balancer.sendFirst(0, {}, { { SteeringFixture::caller.address, port }, SteeringFixture::route });
        REQUIRE(balancer.asked().size() == 1);
        CHECK_FALSE(isIn(balancer.asked().back(), 1));
    }
    for (const auto& [key, owner] : open) {
        balancer.sendLater(milliseconds(10), key);
        CHECK(balancer.asked() == std::vector { owner });
    }
    balancer.placement.setEvacuatedZones({});
    std::size_t returned = 0;
    for (std::uint16_t port = 2001; port <= 2100; ++port) {
        balancer.sendFirst(0, {}, { { SteeringFixture::caller.address, port }, SteeringFixture::route });
        returned += isIn(balancer.asked().back(), 1) ? 1 : 0;
    }
    CHECK(returned > 0);
}

// Guards against callers that wait although the operator has taken all capacity away.
TEST_CASE("new flows are reset at once while every zone of their service is evacuated")
{
    SteeringFixture balancer { 0 };
    setZones(balancer, 9);
    balancer.placement.setEvacuatedZones({ "zone-0", "zone-1", "zone-2", "unknown" });
    AgentLoad evacuated;
    evacuated.incarnation = 1;
    evacuated.sequence = 1;
    evacuated.leaving = true;
    for (std::uint32_t number = 1; number <= 9; ++number) {
        balancer.placement.report({ number, 7000 }, evacuated, balancer.start);
    }
    balancer.sendFirst();
    CHECK(balancer.asked().empty());
    CHECK(balancer.resets());
}

// Guards against EVAC by one balancer that is partitioned from the store: the agent refuses.
TEST_CASE("an agent of an evacuated zone refuses new flows, queued ones included, and keeps its open flows")
{
    const auto noMetadata = [](std::span<const std::uint8_t>) { return PayloadMetadata(); };
    HostAdmission admission(1, serviceHash("job"), noMetadata, noMetadata, start - seconds(3600), seconds(60));
    std::vector<AgentAction> actions;
    constexpr std::array<std::uint8_t, 1> bytes { 1 };
    const auto offer = [&](std::uint16_t port) {
        FlowPacket packet;
        packet.source = { SteeringFixture::caller.address, port };
        packet.destination = SteeringFixture::route;
        packet.opens = true;
        actions.clear();
        admission.handleNewFlow({ { 9, 7720 }, milliseconds(100), 1, FlowUrgency::InTime, 1, {}, 0 },
            serviceHash("job"), packet, bytes, start, actions);
        return std::get<SendVerdict>(actions.front()).verdict;
    };
    CHECK(offer(1) == FlowVerdict::Admitted);
    CHECK(offer(2) == FlowVerdict::Admitted);
    CHECK(offer(3) == FlowVerdict::Admitted);
    REQUIRE(admission.currentLoad(start).held == 1);
    actions.clear();
    admission.setEvacuated(true, actions);
    CHECK(admission.currentLoad(start).leaving); // for balancers that have not heard of the evacuation
    REQUIRE(actions.size() == 1);
    CHECK(std::get<SendVerdict>(actions.front()).verdict == FlowVerdict::RefusedEvacuated);
    CHECK(std::get<SendVerdict>(actions.front()).flow.caller.port == 3);
    CHECK(admission.flowCount() == 2);
    CHECK(offer(4) == FlowVerdict::RefusedEvacuated);
    admission.setEvacuated(false, actions);
    CHECK(offer(5) == FlowVerdict::Admitted);
}

// Guards against a late answer of the store or of a peer that returns an evacuated zone to use, or empties one again.
TEST_CASE("requests to evacuate a zone are ordered by the store's revisions")
{
    HostDirectory directory;
    const auto zones = [&] { return directory.evacuatedZones().names().size(); };
    CHECK(directory.apply(change("a", true, 5), start) == HostDirectory::Effect::EvacuationChanged);
    CHECK(directory.apply(change("a", true, 5), start) == HostDirectory::Effect::None);
    CHECK(directory.apply(change("a", false, 7), start) == HostDirectory::Effect::EvacuationChanged);
    CHECK(directory.apply(change("a", true, 6), start) == HostDirectory::Effect::RefusedOlder);
    CHECK(zones() == 0);
    directory.apply(change("a", true, 8), start);
    directory.apply(change("b", true, 9), start);
    SUBCASE("a listing without the requests takes them back")
    {
        directory.beginListing();
        CHECK(directory.endListing(9, start));
        CHECK(zones() == 0);
    }
    SUBCASE("a listing that is older than a request does not")
    {
        directory.beginListing();
        CHECK(directory.endListing(8, start));
        CHECK(directory.evacuatedZones().names().contains("b"));
        CHECK(zones() == 1);
    }
    SUBCASE("a listing with the requests keeps them")
    {
        directory.beginListing();
        directory.apply(change("a", true, 8), start);
        directory.apply(change("b", true, 9), start);
        CHECK_FALSE(directory.endListing(20, start));
        CHECK(zones() == 2);
        CHECK(directory.apply(change("b", false, 15), start) == HostDirectory::Effect::RefusedOlder);
    }
    SUBCASE("a peer's snapshot has them")
    {
        directory.advanceTo(9);
        const auto snapshot = decodeSnapshot(encodeSnapshot(directory, start));
        REQUIRE(snapshot);
        CHECK(snapshot->listsZones);
        HostDirectory taken;
        taken.apply(change("c", true, 3), start);
        taken.beginListing();
        for (const DirectoryChange& item : snapshot->changes) {
            taken.apply(item, start);
        }
        taken.endListing(snapshot->version.revision, start);
        CHECK(taken.evacuatedZones().requests() == directory.evacuatedZones().requests());
    }
}

TEST_CASE("requests to evacuate are read from their keys, also with values that cannot be read")
{
    const auto answer = platform::parseWatchAnswer(
        R"({"events":[{"key":"op/evacuate/a","value":"e30=","revision":4},{"key":"op/evacuate/b","value":7,)"
        R"("revision":5},{"key":"op/evacuate/a","revision":6,"tombstone":true},{"key":"op/evacuate/","value":"e30=",)"
        R"("revision":7}],"store-revision":7})");
    HostDirectory directory;
    std::size_t refused = 0;
    for (const DirectoryChange& item : answer.changes) {
        refused += directory.apply(item, start) == HostDirectory::Effect::RefusedMalformed ? 1 : 0;
    }
    CHECK(refused == 1);
    CHECK(directory.evacuatedZones().names() == std::set<std::string, std::less<>> { "b" });
}
