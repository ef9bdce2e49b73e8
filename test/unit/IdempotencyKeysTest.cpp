// Guarantee P5 of docs/promises.md: an idempotency key runs at most once.

#include "PlacementFixture.h"
#include "coordination/KeyCoordinator.h"

#include <doctest/doctest.h>

using namespace chicoryferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

std::shared_ptr<const ConfigurationView> makeView(
    std::uint64_t version, const std::string& host, std::vector<std::shared_ptr<const Configuration>> history)
{
    auto configuration = std::make_shared<Configuration>();
    configuration->version = version;
    Service service;
    service.name = "job";
    service.id = serviceId("job");
    configuration->services.push_back(service);
    configuration->callerGroups.push_back({ "benches", { { 0, 0 } } });
    configuration->bindings.push_back({ "job", "benches", Selector() });
    configuration->hosts.push_back({});
    configuration->hosts[0].name = host;
    configuration->hosts[0].incarnation = 1;
    return std::make_shared<ConfigurationView>(configuration, std::make_shared<InstanceList>(), std::move(history));
}

wire::KeyAcquire makeAcquire(std::uint64_t request, const std::string& key)
{
    wire::KeyAcquire acquire;
    acquire.set_request(request);
    acquire.set_service("job");
    acquire.set_key(key);
    return acquire;
}

}

// Guards against a second run for a repeated idempotency key; the repeated request must get the outcome of the first.
TEST_CASE("a repeated key is answered with the outcome of the first request")
{
    PlacementFixture fleet(3, 2);
    fleet.deliverAll();
    fleet.arrive("host-0", fleet.describeKeyed(1, "k"));
    fleet.deliverAll();
    REQUIRE(fleet.runs().size() == 1);
    fleet.arrive("host-1", fleet.describeKeyed(2, "k"));
    fleet.deliverAll();
    REQUIRE(fleet.refusals().size() == 1);
    CHECK(fleet.refusals()[0].reason == "key_in_progress");
    CHECK(fleet.refusals()[0].outcome == RunOutcome::Unknown);
    fleet.endRun(1, RunOutcome::Completed, 201);
    fleet.deliverAll();
    fleet.arrive("host-2", fleet.describeKeyed(3, "k"));
    RequestDescription other = fleet.describeKeyed(4, "k");
    other.fingerprint = 8;
    fleet.arrive("host-2", other);
    fleet.deliverAll();
    REQUIRE(fleet.refusals().size() == 3);
    CHECK(fleet.refusals()[1].outcome == RunOutcome::Completed);
    CHECK(fleet.refusals()[1].completedStatus == 201);
    CHECK(fleet.refusals()[2].reason == "key_reused");
    CHECK(fleet.runs().size() == 1);
}

// Guards against an idempotency key that stays acquired although its request is known not to have run.
TEST_CASE("a key can be acquired again after its request was not run")
{
    PlacementFixture fleet(1, 1);
    fleet.deliverAll();
    fleet.arrive("host-0", 1);
    fleet.arrive("host-0", fleet.describeKeyed(2, "k"));
    fleet.callerDisconnected("host-0", 2);
    fleet.endRun(1, RunOutcome::Completed);
    fleet.arrive("host-0", fleet.describeKeyed(3, "k"));
    fleet.deliverAll();
    CHECK(fleet.refusals().empty());
    REQUIRE(fleet.runs().size() == 2);
    CHECK(fleet.runs()[1].request == 3);
}

// Guards against a second run after a coordinator has crashed: the new incarnation has no records and must not answer
// for the old one.
TEST_CASE("keys of a coordinator that has restarted are refused as not run")
{
    PlacementFixture fleet(2, 4);
    fleet.deliverAll();
    fleet.history.push_back(std::make_shared<Configuration>(fleet.configuration));
    fleet.configuration.version = 2;
    fleet.configuration.hosts[0].incarnation = 2;
    fleet.start("host-0", 2);
    fleet.publishTo("host-1");
    fleet.deliverAll();
    for (std::uint64_t request = 1; request <= 20; ++request) {
        fleet.arrive("host-1", fleet.describeKeyed(request, "k" + std::to_string(request)));
        fleet.deliverAll();
        fleet.endRun(request, RunOutcome::Completed);
    }
    fleet.advanceWithTicks(seconds(2));
    CHECK(fleet.runs().size() + fleet.refusals().size() == 20);
    CHECK(fleet.runs().size() > 0);
    REQUIRE(fleet.refusals().size() > 0);
    for (const RefuseRequest& refusal : fleet.refusals()) {
        CHECK(refusal.outcome == RunOutcome::NotRun);
        CHECK(refusal.reason == "key_coordinator_unreachable");
    }
}

// Guards against a second run when a coordinator does not know which hosts may have granted a key before.
TEST_CASE("keys are refused while the configuration history is incomplete")
{
    PlacementFixture fleet(1, 1);
    fleet.historyComplete = false;
    fleet.start("host-0", 2);
    fleet.configuration.version = 2;
    fleet.configuration.hosts[0].incarnation = 2;
    fleet.publishTo("host-0");
    fleet.arrive("host-0", fleet.describeKeyed(1, "k"));
    fleet.deliverAll();
    REQUIRE(fleet.refusals().size() == 1);
    CHECK(fleet.refusals()[0].reason == "key_history_incomplete");
}

// Guards against a second run by a former coordinator with an outdated configuration that receives a request for a key
// after it has been fenced for that key by its successor.
TEST_CASE("a fenced coordinator does not grant the key until its configuration is newer")
{
    const auto now = KeyCoordinator::TimePoint(std::chrono::hours(1));
    const PeerIdentity holder { "holder", 1 };
    KeyCoordinator former({ "a", 1 });
    KeyCoordinator successor({ "b", 1 });
    const auto first = makeView(1, "a", {});
    const auto history = std::vector { std::make_shared<const Configuration>(first->configuration()) };
    former.viewChanged(now, first, "job", true);
    successor.viewChanged(now, makeView(2, "b", history), "job", true);
    const KeyMessages fenceRequests = successor.acquire(now, holder, makeAcquire(1, "k"));
    REQUIRE(fenceRequests.size() == 1);
    CHECK(fenceRequests[0].to == PeerIdentity { "a", 1 });
    const KeyMessages fenceAnswers = former.fence(now, { "b", 1 }, fenceRequests[0].message.key_fence());
    REQUIRE(fenceAnswers.size() == 1);
    const KeyMessages refused = former.acquire(now, { "other", 1 }, makeAcquire(9, "k"));
    REQUIRE(refused.size() == 1);
    CHECK(refused[0].message.key_answer().result() == wire::KeyAnswer::REFUSED);
    const KeyMessages granted = successor.fenceAnswer(now, { "a", 1 }, fenceAnswers[0].message.key_fence_answer());
    REQUIRE(granted.size() == 1);
    CHECK(granted[0].message.key_answer().result() == wire::KeyAnswer::ACQUIRED);
}

// Guards against a fence that expires before this host has a newer configuration than the one the fence was set under.
TEST_CASE("records are kept for the retention period, and fences until a newer configuration")
{
    const auto now = IdempotencyRecords::TimePoint(std::chrono::hours(1));
    IdempotencyRecords records;
    IdempotencyRecord fenced;
    fenced.state = IdempotencyRecord::State::Fenced;
    fenced.fencedVersion = 5;
    records.put(now, "job", "fenced", fenced);
    IdempotencyRecord completed;
    completed.state = IdempotencyRecord::State::Completed;
    records.put(now, "job", "completed", completed);
    records.put(now, "job", "acquired", {});
    records.expire(now + seconds(600), seconds(600), 4);
    CHECK(records.size() == 3);
    records.expire(now + seconds(601), seconds(600), 4);
    CHECK(records.find("job", "completed") == nullptr);
    CHECK(records.find("job", "fenced") != nullptr);
    CHECK(records.find("job", "acquired")->state == IdempotencyRecord::State::Unknown);
    records.expire(now + seconds(602), seconds(600), 6);
    CHECK(records.find("job", "fenced") == nullptr);
}
