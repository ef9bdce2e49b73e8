#include "SteeringFixture.h"
#include "coordination/ServiceSplit.h"
#include "platform/StoreDocuments.h"
#include "support/UserError.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>

using namespace chicoryferry;
using std::chrono::milliseconds;

namespace {

using Weights = std::vector<WeightedService>;

constexpr std::uint32_t flowCount = 10000;

FlowKey flowOf(std::uint32_t number)
{
    return { { 0x64400000 + (number / 200), static_cast<std::uint16_t>(40000 + (number % 200)) }, { 0xC6120001, 443 } };
}

// The share of the flows that each service is preferred for.
std::map<std::string, double> shares(const RouteTarget& target)
{
    std::map<std::string, double> result;
    for (std::uint32_t number = 0; number < flowCount; ++number) {
        const auto services = rankServices(target, flowOf(number));
        result[services.empty() ? "none" : std::string(services.front())] += 1.0 / flowCount;
    }
    return result;
}

// A balancer with a weighted route and two agents for each service: 1 and 2 for "job", 3 and 4 for "drawing".
struct WeightedFixture : SteeringFixture {
    explicit WeightedFixture(const Weights& weights) { this->setWeights(2, weights); }

    void setWeights(std::uint64_t version, const Weights& weights)
    {
        this->applyRoutes(version, { { route, { weights, true, milliseconds(100), milliseconds(1000), 1 } } });
    }

    void setAgents(const std::vector<std::uint32_t>& numbers, const std::vector<std::uint32_t>& draining = {})
    {
        std::vector<FlowPlacement::Agent> agents;
        for (const std::uint32_t number : numbers) {
            const Endpoint address { number, 7000 };
            const bool leaves = std::find(draining.begin(), draining.end(), number) != draining.end();
            agents.push_back({ address,
                { std::to_string(number), number <= 2 ? "job" : "drawing", address, "zone", 2, leaves, {}, 0 },
                this->start });
        }
        this->placement.setAgents(agents, this->start);
    }

    std::size_t skippedServices() const
    {
        return static_cast<std::size_t>(std::count_if(this->actions.begin(), this->actions.end(),
            [](const SteeringAction& action) { return std::holds_alternative<ReportSkippedService>(action); }));
    }

    // A flow whose preferred service is the given one.
    static FlowKey flowFor(const Weights& weights, const std::string& service)
    {
        for (std::uint32_t number = 0;; ++number) {
            if (rankServices(weights, flowOf(number)).front() == service) {
                return flowOf(number);
            }
        }
    }

    static bool serves(const Endpoint& agent, const std::string& service)
    {
        return (agent.address <= 2) == (service == "job");
    }
};

}

// Guards against a split that does not follow the operator's weights.
TEST_CASE("each service of a weighted route gets its share of the flows within 2 points")
{
    for (const Weights& weights :
        { Weights { { "job", 90 }, { "drawing", 10 } }, Weights { { "job", 50 }, { "b", 50 } },
            Weights { { "a", 1 }, { "b", 2 }, { "c", 4 } }, Weights { { "a", 300000 }, { "b", 700000 } } }) {
        double sum = 0;
        for (const WeightedService& item : weights) {
            sum += item.weight;
        }
        const auto measured = shares(weights);
        for (const WeightedService& item : weights) {
            CAPTURE(item.service);
            CHECK(std::abs(measured.at(item.service) - item.weight / sum) < 0.02);
        }
    }
}

// Guards against flows for a service whose weight is 0, and against a division by an empty sum.
TEST_CASE("a service with weight 0 gets no flows, and one with the only weight gets all")
{
    CHECK(shares(Weights { { "job", 0 }, { "drawing", 5 } }) == shares(std::string("drawing")));
    CHECK(rankServices(Weights { { "job", 0 }, { "drawing", 5 } }, flowOf(1)).size() == 1);
    CHECK(rankServices(Weights { { "job", 0 } }, flowOf(1)).empty());
    CHECK(rankServices(Weights {}, flowOf(1)).empty());
}

// Guards against a change of weights that moves more flows than the change of the shares requires.
TEST_CASE("a change of weights moves only the flows of the changed share")
{
    std::uint32_t moved = 0;
    for (std::uint32_t number = 0; number < flowCount; ++number) {
        const Weights before { { "job", 90 }, { "drawing", 10 } };
        const Weights after { { "job", 80 }, { "drawing", 20 } };
        moved += rankServices(before, flowOf(number)).front() == rankServices(after, flowOf(number)).front() ? 0U : 1U;
    }
    CHECK(moved < flowCount * 12 / 100);
}

// Guards against a flow that two balancers, or two transmissions, send to different services.
TEST_CASE("every balancer offers a flow of a weighted route to the same service, and so are its retransmissions")
{
    const Weights weights { { "job", 50 }, { "drawing", 50 } };
    for (const char* service : { "job", "drawing" }) {
        const FlowKey key = WeightedFixture::flowFor(weights, service);
        WeightedFixture first { weights };
        first.setAgents({ 1, 2, 3, 4 });
        first.sendFirst(0, {}, key);
        REQUIRE(first.asked().size() == 1);
        CHECK(WeightedFixture::serves(first.asked().back(), service));
        CHECK(std::get<SteerPacket>(first.actions.back()).service == serviceHash(service));
        first.tick(milliseconds(31));
        CHECK(WeightedFixture::serves(first.asked().back(), service));
        WeightedFixture second { weights };
        second.setAgents({ 4, 3, 2, 1 });
        second.sendFirst(1, milliseconds(200), key);
        REQUIRE(second.asked().size() == 1);
        CHECK(WeightedFixture::serves(second.asked().back(), service));
    }
}

// Guards against callers that are reset because the service selected for them has no host.
TEST_CASE("the other services of a weighted route take the share of one without a usable agent")
{
    const Weights weights { { "job", 50 }, { "drawing", 50 } };
    const FlowKey key = WeightedFixture::flowFor(weights, "drawing");
    WeightedFixture balancer { weights };
    SUBCASE("no host is known") { balancer.setAgents({ 1, 2 }); }
    SUBCASE("all hosts are draining") { balancer.setAgents({ 1, 2, 3, 4 }, { 3, 4 }); }
    SUBCASE("the service is not known at all")
    {
        balancer.setAgents({ 1, 2 });
        balancer.setWeights(3, { { "job", 50 }, { "drawing", 50 }, { "unknown", 5000 } });
    }
    balancer.sendFirst(0, {}, key);
    REQUIRE(balancer.asked().size() == 1);
    CHECK(WeightedFixture::serves(balancer.asked().back(), "job"));
    CHECK(balancer.skippedServices() == 1);
}

// Guards against callers that wait although no service may take their flows.
TEST_CASE("a flow of a route without any weight is reset at once")
{
    WeightedFixture balancer { { { "job", 0 }, { "drawing", 0 } } };
    balancer.setAgents({ 1, 2, 3, 4 });
    balancer.sendFirst();
    CHECK(balancer.asked().empty());
    CHECK(balancer.resets());
}

// Guards against open flows that are moved or lost when the operator changes weights.
TEST_CASE("an open flow of a weighted route stays with its owner when the weights change")
{
    const Weights weights { { "job", 1000 }, { "drawing", 0 } };
    WeightedFixture balancer { weights };
    balancer.setAgents({ 1, 2, 3, 4 });
    balancer.sendFirst();
    const Endpoint owner = balancer.asked().back();
    balancer.receiveVerdict(owner, FlowVerdict::Admitted, milliseconds(2));
    balancer.sendLater(milliseconds(4));
    balancer.setWeights(3, { { "job", 0 }, { "drawing", 1000 } });
    balancer.sendLater(milliseconds(6));
    REQUIRE(balancer.asked() == std::vector { owner });
    CHECK(std::get<SteerPacket>(balancer.actions.back()).service == serviceHash("job"));
}

// Guards against an open flow that a restarted balancer never finds, because its weights have changed meanwhile or
// another balancer placed it at the other service.
TEST_CASE("an unknown flow is searched at the selected service first, then at every agent, and tried with its service")
{
    WeightedFixture balancer { { { "job", 0 }, { "drawing", 1000 } } };
    balancer.setAgents({ 1, 2, 3, 4 });
    balancer.sendLater();
    CHECK(balancer.queried() == std::vector { Endpoint { 3, 7000 }, Endpoint { 4, 7000 } });
    balancer.receiveVerdict({ 3, 7000 }, FlowVerdict::NotFound, milliseconds(1));
    balancer.receiveVerdict({ 4, 7000 }, FlowVerdict::NotFound, milliseconds(1));
    CHECK(balancer.queried() == std::vector { Endpoint { 1, 7000 }, Endpoint { 2, 7000 } });
    balancer.receiveVerdict({ 1, 7000 }, FlowVerdict::MayHold, milliseconds(2));
    balancer.receiveVerdict({ 2, 7000 }, FlowVerdict::MayHold, milliseconds(2));
    REQUIRE(balancer.asked().size() == 2);
    for (const SteeringAction& action : balancer.actions) {
        CHECK(std::get<SteerPacket>(action).service == serviceHash("job"));
    }
    // The owner answers; its service is the one of later packets.
    balancer.receiveVerdict({ 1, 7000 }, FlowVerdict::Owned, milliseconds(202));
    balancer.sendLater(milliseconds(203));
    REQUIRE(balancer.asked() == std::vector { Endpoint { 1, 7000 } });
    CHECK(std::get<SteerPacket>(balancer.actions.back()).service == serviceHash("job"));
}

// Guards against open flows that are not reset when their route goes away.
TEST_CASE("an open flow of a weighted route that is removed is reset")
{
    WeightedFixture balancer { { { "job", 50 }, { "drawing", 50 } } };
    balancer.setAgents({ 1, 2, 3, 4 });
    balancer.sendFirst();
    balancer.receiveVerdict(balancer.asked().back(), FlowVerdict::Admitted, milliseconds(2));
    balancer.sendLater(milliseconds(4));
    balancer.applyRoutes(3, {});
    balancer.sendLater(milliseconds(6));
    CHECK(balancer.resets());
}

// Guards against a configuration that is refused because a route names several services (seen on kpzk-rounds, where
// balancers then followed neither the configuration nor the hosts).
TEST_CASE("a route with weights is decoded, and weights out of range are refused with their name")
{
    const auto document = [](const std::string& target) {
        return fmt::format(R"({{"version":6,"routes":[{{"hostname":"198.18.0.1","prefix":"/443/",{}}}]}})", target);
    };
    const RouteTable table = platform::parseRouteTable(
        document(R"("weighted-backends":[{"service":"job","weight":90},{"service":"drawing","weight":0}])"));
    CHECK(table.routes.at({ 0xC6120001, 443 }).target == RouteTarget(Weights { { "job", 90 }, { "drawing", 0 } }));
    CHECK(
        platform::parseRouteTable(document(R"("service":"job")")).routes.begin()->second.target == RouteTarget("job"));
    for (const char* weight : { "-1", "1.5", "\"90\"", "1000001", "1e400", "null" }) {
        CAPTURE(weight);
        CHECK_THROWS_AS(platform::parseRouteTable(
                            document(fmt::format(R"("weighted-backends":[{{"service":"job","weight":{}}}])", weight))),
            UserError);
    }
    CHECK_THROWS_WITH_AS(platform::parseRouteTable(document(R"("weighted-backends":[{"service":"job","weight":-1}])")),
        doctest::Contains("weight"), UserError);
    CHECK_THROWS_AS(platform::parseRouteTable(document(R"("priority":1)")), UserError);
}
