// Load: backend servers that have just started and bear only a few first packets a second, while many balancers that
// do not know of each other place flows. Guards against FAILBACK (more first packets in a sliding second than the
// operators' limit).

#include "coordination/ColdStartLimiter.h"
#include "SteeringFixture.h"
#include "coordination/HostAdmission.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <utility>

using namespace chicoryferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const ColdStartLimiter::TimePoint start { std::chrono::hours(1) };

std::size_t mostInOneSecond(const std::vector<ColdStartLimiter::TimePoint>& times)
{
    std::size_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto end
            = std::find_if(first, times.end(), [&](const auto& time) { return time - *first >= seconds(1); });
        most = std::max(most, static_cast<std::size_t>(std::distance(first, end)));
    }
    return most;
}

}

TEST_CASE("the limit of a cold backend server holds in every sliding second, and ends with the cold time")
{
    ColdStartLimiter limiter(start - seconds(60));
    limiter.update(seconds(4), 5, start);
    std::vector<ColdStartLimiter::TimePoint> delivered;
    for (auto now = start; now < start + seconds(4); now += milliseconds(7)) {
        if (limiter.wait(now, 0).count() == 0) {
            limiter.record(now);
            delivered.push_back(now);
        }
    }
    CHECK(mostInOneSecond(delivered) == 5);
    CHECK(delivered.size() >= 20);
    limiter.update(seconds(2), 5, start + seconds(3)); // started again while cold
    limiter.update(milliseconds(500), 8, start + seconds(3));
    for (int count = 0; count < 5; ++count) {
        limiter.record(start + milliseconds(4100));
    }
    CHECK(limiter.wait(start + milliseconds(4200), 0) == milliseconds(800)); // until the end of the cold time
}

// Guards against twice the limit around a restart of the agent in the middle of the cold time.
TEST_CASE("an agent that has just started delivers no first packet to a cold backend server for one second")
{
    ColdStartLimiter limiter(start);
    limiter.update(seconds(4), 5, start + milliseconds(100));
    CHECK(limiter.wait(start + milliseconds(100), 0) == milliseconds(950));
    CHECK(limiter.wait(start + milliseconds(1050), 0).count() == 0);
    ColdStartLimiter unlimited(start);
    unlimited.update(seconds(4), 0, start);
    CHECK(unlimited.wait(start, 0).count() == 0);
}

TEST_CASE("40 balancers that do not know of each other keep the limit of a cold backend server together")
{
    const auto noMetadata = [](std::span<const std::uint8_t>) { return PayloadMetadata(); };
    HostAdmission admission(1, serviceHash("job"), noMetadata, noMetadata, start - seconds(3600), seconds(60));
    std::mt19937_64 random(7);
    std::uniform_int_distribution<std::uint32_t> anyBalancer(1, 40);
    std::vector<AgentAction> actions;
    constexpr double limit = 8;
    std::vector<ColdStartLimiter::TimePoint> delivered;
    std::size_t refusedAtOnce = 0;
    const auto fromCaller = [&](std::uint32_t port) {
        FlowPacket packet;
        packet.source = { SteeringFixture::caller.address, static_cast<std::uint16_t>(port) };
        packet.destination = SteeringFixture::route;
        return packet;
    };
    // Counts the first packets that are delivered. The datagrams are the ports of the callers, whose requests are over
    // at once.
    const auto handleDeliveries = [&](ColdStartLimiter::TimePoint now) {
        const auto pending = std::exchange(actions, {});
        for (const AgentAction& action : pending) {
            if (const auto* delivery = std::get_if<DeliverToBackendServer>(&action)) {
                delivered.push_back(now);
                FlowPacket reset = fromCaller(delivery->datagram[0] * 256U + delivery->datagram[1]);
                reset.resets = true;
                std::vector<AgentAction> ignored;
                admission.handleCallerPacket(
                    { 1, 7720 }, serviceHash("job"), SteeringPurpose::KnownFlow, reset, {}, now, ignored);
                // Only the reset itself may be delivered; another first packet would not be counted.
                CHECK(std::count_if(ignored.begin(), ignored.end(), [](const AgentAction& item) {
                    return std::holds_alternative<DeliverToBackendServer>(item);
                }) == 1);
            }
        }
    };
    std::uint32_t port = 0;
    for (auto now = start; now < start + seconds(4); now += milliseconds(10)) {
        ++port;
        const std::array<std::uint8_t, 2> bytes { static_cast<std::uint8_t>(port / 256),
            static_cast<std::uint8_t>(port % 256) };
        FlowPacket packet = fromCaller(port);
        packet.opens = true;
        admission.handleNewFlow({ { anyBalancer(random), 7720 }, milliseconds(150), 1, FlowUrgency::InTime, 2,
                                    seconds(4) - std::chrono::duration_cast<milliseconds>(now - start), limit },
            serviceHash("job"), packet, bytes, now, actions);
        const auto* verdict = std::get_if<SendVerdict>(&actions.front());
        refusedAtOnce += verdict != nullptr && verdict->verdict == FlowVerdict::RefusedFull ? 1 : 0;
        handleDeliveries(now);
        admission.tick(now, actions);
        handleDeliveries(now);
    }
    CHECK(mostInOneSecond(delivered) <= static_cast<std::size_t>(limit));
    CHECK(delivered.size() >= 24); // the limit is used
    CHECK(refusedAtOnce > 200); // the others learn at once that they have to go elsewhere
}

// Guards against balancers that keep offering flows to a cold backend server whose limit is used up.
TEST_CASE("a backend server whose limit is used up is passed over until it bears another first packet")
{
    SteeringFixture balancer { 2 };
    AgentLoad load;
    load.incarnation = 1;
    load.sequence = 1;
    load.slots = 2;
    load.reportsChanges = true;
    load.startWait = milliseconds(600);
    balancer.placement.report({ 1, 7000 }, load, balancer.start);
    load.startWait = milliseconds(0);
    load.working = 2;
    balancer.placement.report({ 2, 7000 }, load, balancer.start);
    balancer.sendFirst();
    CHECK(balancer.asked().back() == Endpoint { 2, 7000 });
    balancer.sendFirst(0, milliseconds(700), { { SteeringFixture::caller.address, 5 }, SteeringFixture::route });
    CHECK(balancer.asked().back() == Endpoint { 1, 7000 });
}
