// Guarantees P1 and P5 of docs/promises.md at a planned removal: no planned change breaks an established flow (P1), and
// an idempotency key runs at most once (P5).
// Guards against idempotency keys that become unusable, or run a second time, after the planned removal of their
// coordinator: its successors must have its records.

#include "PlacementFixture.h"

#include <doctest/doctest.h>
#include <map>

using namespace chicoryferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::string keyName(std::uint64_t number) { return "key-" + std::to_string(number); }

constexpr std::uint64_t keyCount = 30;

// Runs one request for each key.
void useKeys(PlacementFixture& fleet)
{
    for (std::uint64_t request = 1; request <= keyCount; ++request) {
        fleet.arrive("host-1", fleet.describeKeyed(request, keyName(request)));
        fleet.deliverAll();
        fleet.endRun(request, RunOutcome::Completed, 201);
        fleet.deliverAll();
    }
    REQUIRE(fleet.runs().size() == keyCount);
}

void drain(PlacementFixture& fleet, unsigned host)
{
    fleet.history.insert(fleet.history.begin(), std::make_shared<Configuration>(fleet.configuration));
    ++fleet.configuration.version;
    fleet.configuration.hosts[host].state = HostState::Draining;
    for (const Host& recipient : fleet.configuration.hosts) {
        fleet.publishTo(recipient.name);
    }
    fleet.deliverAll();
}

void removeHost(PlacementFixture& fleet, unsigned host)
{
    const std::string name = fleet.configuration.hosts[host].name;
    fleet.startDraining(name);
    fleet.advanceWithTicks(seconds(1));
    CHECK_FALSE(fleet.placement(name).isTransferringKeyRecords());
    fleet.droppedHosts[name] = true;
}

// Checks that each used key is answered with its outcome and that each new key runs.
void checkKeys(PlacementFixture& fleet, std::uint64_t firstRequest)
{
    const std::size_t runsBefore = fleet.runs().size();
    const std::size_t refusalsBefore = fleet.refusals().size();
    for (std::uint64_t number = 1; number <= keyCount; ++number) {
        fleet.arrive("host-1", fleet.describeKeyed(firstRequest + number, keyName(number)));
        fleet.advanceWithTicks(milliseconds(20));
    }
    fleet.advanceWithTicks(seconds(2));
    CHECK(fleet.runs().size() == runsBefore);
    REQUIRE(fleet.refusals().size() == refusalsBefore + keyCount);
    for (std::size_t index = refusalsBefore; index < fleet.refusals().size(); ++index) {
        CHECK(fleet.refusals()[index].reason == "key_completed");
        CHECK(fleet.refusals()[index].completedStatus == 201);
    }
    for (std::uint64_t number = 1; number <= keyCount; ++number) {
        const std::uint64_t request = firstRequest + keyCount + number;
        fleet.arrive("host-1", fleet.describeKeyed(request, keyName(firstRequest + number)));
        fleet.advanceWithTicks(milliseconds(20));
        fleet.endRun(request, RunOutcome::Completed);
    }
    CHECK(fleet.runs().size() == runsBefore + keyCount);
}

}

TEST_CASE("keys stay usable after the planned removal of their coordinator")
{
    PlacementFixture fleet(3, 4);
    fleet.deliverAll();
    useKeys(fleet);
    drain(fleet, 0);
    removeHost(fleet, 0);
    checkKeys(fleet, 1000);
}

TEST_CASE("keys stay usable after two coordinators were removed one after the other")
{
    PlacementFixture fleet(4, 4);
    fleet.deliverAll();
    useKeys(fleet);
    drain(fleet, 0);
    removeHost(fleet, 0);
    drain(fleet, 2);
    removeHost(fleet, 2);
    checkKeys(fleet, 1000);
}

TEST_CASE("a host that joins after the removal of a coordinator gets its records from the other hosts")
{
    PlacementFixture fleet(3, 4);
    fleet.deliverAll();
    useKeys(fleet);
    drain(fleet, 0);
    removeHost(fleet, 0);
    fleet.history.insert(fleet.history.begin(), std::make_shared<Configuration>(fleet.configuration));
    ++fleet.configuration.version;
    fleet.configuration.hosts.push_back(fleet.makeHost("host-3"));
    fleet.start("host-3", 1);
    fleet.publishTo("host-1");
    fleet.publishTo("host-2");
    fleet.deliverAll();
    checkKeys(fleet, 1000);
}

TEST_CASE("key records are transferred despite lost messages")
{
    PlacementFixture fleet(3, 4);
    fleet.deliverAll();
    useKeys(fleet);
    drain(fleet, 0);
    fleet.droppedHosts["host-2"] = true;
    fleet.startDraining("host-0");
    fleet.advanceWithTicks(seconds(1));
    CHECK(fleet.placement("host-0").isTransferringKeyRecords());
    fleet.droppedHosts.erase("host-2");
    removeHost(fleet, 0);
    checkKeys(fleet, 1000);
}

// Guards against the loss of a request that is in progress when the records are transferred; its end must reach the
// successor.
TEST_CASE("the end of a request that was in progress during the transfer reaches the successor")
{
    PlacementFixture fleet(3, 40);
    fleet.deliverAll();
    for (std::uint64_t request = 1; request <= keyCount; ++request) {
        fleet.arrive("host-1", fleet.describeKeyed(request, keyName(request)));
        fleet.deliverAll();
    }
    drain(fleet, 0);
    removeHost(fleet, 0);
    for (std::uint64_t request = 1; request <= keyCount; ++request) {
        fleet.endRun(request, RunOutcome::Completed, 201);
    }
    fleet.advanceWithTicks(seconds(5));
    checkKeys(fleet, 1000);
}

// Guards against a second run of a key that was released after the transfer: one successor grants the key again, and a
// host that becomes its coordinator later must query that successor instead of relying on the release.
TEST_CASE("a key released after the transfer runs once although its coordinator changes again")
{
    PlacementFixture fleet(4, 1);
    fleet.deliverAll();
    constexpr std::uint64_t busyRequests = 4;
    for (std::uint64_t request = 1; request <= busyRequests; ++request) {
        fleet.arrive("host-1", request);
        fleet.deliverAll();
    }
    REQUIRE(fleet.runs().size() == busyRequests);
    constexpr std::uint64_t first = 100;
    for (std::uint64_t number = 1; number <= keyCount; ++number) {
        RequestDescription waiting = fleet.describeKeyed(first + number, keyName(number));
        waiting.caller.address += static_cast<std::uint32_t>(number); // queue shares are per caller address
        fleet.arrive("host-1", waiting);
        fleet.deliverAll();
    }
    drain(fleet, 0);
    fleet.startDraining("host-0");
    fleet.advanceWithTicks(milliseconds(300));
    for (std::uint64_t number = 1; number <= keyCount; ++number) {
        fleet.callerDisconnected("host-1", first + number);
    }
    fleet.advanceWithTicks(milliseconds(300));
    fleet.droppedHosts["host-0"] = true;
    for (std::uint64_t request = 1; request <= busyRequests; ++request) {
        fleet.endRun(request, RunOutcome::Completed);
    }
    fleet.deliverAll();
    const std::size_t runsBefore = fleet.runs().size();
    for (std::uint64_t number = 1; number <= keyCount; ++number) {
        fleet.arrive("host-1", fleet.describeKeyed(2 * first + number, keyName(number)));
        fleet.advanceWithTicks(milliseconds(20));
        fleet.endRun(2 * first + number, RunOutcome::Completed, 201);
        fleet.deliverAll();
    }
    const std::size_t runsOfKeys = fleet.runs().size() - runsBefore;
    CHECK(runsOfKeys > 0);
    drain(fleet, 2);
    for (std::uint64_t number = 1; number <= keyCount; ++number) {
        fleet.arrive("host-1", fleet.describeKeyed(3 * first + number, keyName(number)));
        fleet.advanceWithTicks(milliseconds(20));
        fleet.endRun(3 * first + number, RunOutcome::Completed, 201);
        fleet.deliverAll();
    }
    fleet.advanceWithTicks(seconds(2));
    // Each key has run at most once, whatever the outcome of its first request.
    std::map<std::uint64_t, int> runsOfKey;
    for (const auto& run : fleet.runs()) {
        if (run.request > first) {
            ++runsOfKey[run.request % first];
        }
    }
    for (const auto& entry : runsOfKey) {
        CAPTURE(entry.first);
        CHECK(entry.second == 1);
    }
    CHECK(runsOfKey.size() >= runsOfKeys);
}
