// Load: 40 balancers that place flows on 50 backend servers at the same time, a quarter of which run at half speed,
// from load reports that are 20 to 800 ms old. Guards against the least loaded backend server of the last reports being
// chosen by all balancers until its next one, so that servers are overrun in turns while others idle.

#include "coordination/FlowPlacement.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <functional>
#include <queue>
#include <random>
#include <string>

using namespace chicoryferry;
using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

constexpr std::size_t balancerCount = 40;
constexpr std::uint32_t hostCount = 50;
constexpr std::uint32_t slots = 2;
constexpr double meanWorkMs = 25;
constexpr double slowFactor = 2;
constexpr double simulatedMs = 12'000;

double workFactor(std::uint32_t host) { return host % 4 == 0 ? slowFactor : 1; }

// The backend servers: first come, first served. Returns the wait of each flow for a slot, in milliseconds.
class Hosts {
public:
    double place(std::uint32_t host, double now, double work)
    {
        auto slot = std::min_element(this->freeAt[host].begin(), this->freeAt[host].end());
        const double begin = std::max(now, *slot);
        *slot = begin + work * workFactor(host);
        this->ends[host].push_back(*slot);
        return begin - now;
    }

    std::uint32_t occupied(std::uint32_t host, double now)
    {
        std::erase_if(this->ends[host], [&](double end) { return end <= now; });
        return static_cast<std::uint32_t>(this->ends[host].size());
    }

    double wait(std::uint32_t host, double now) const
    {
        return std::max(0.0, *std::min_element(this->freeAt[host].begin(), this->freeAt[host].end()) - now);
    }

private:
    std::array<std::array<double, slots>, hostCount> freeAt {};
    std::array<std::vector<double>, hostCount> ends;
};

enum class Policy {
    Product,
    LeastOfAll, // the least loaded of all according to the last report and the own placements since
    FullKnowledge,
};

Endpoint agentOf(std::uint32_t host) { return { host + 1, 7000 }; }

// Returns the 99th percentile of the wait for a slot, in milliseconds.
double waitP99(Policy policy, double load, double reportAgeMs)
{
    std::mt19937_64 random(11);
    Hosts hosts;
    std::vector<FlowPlacement::Agent> agents;
    double capacity = 0; // flows a millisecond
    for (std::uint32_t host = 0; host < hostCount; ++host) {
        const std::string zone = "zone-" + std::to_string(host % 3);
        agents.push_back(
            { agentOf(host), { std::to_string(host), "job", agentOf(host), zone, slots, false, {}, 0 }, {} });
        capacity += slots / (meanWorkMs * workFactor(host));
    }
    std::vector<FlowPlacement> balancers;
    const FlowPlacement::TimePoint start { std::chrono::hours(1) };
    for (std::size_t index = 0; index < balancerCount; ++index) {
        balancers.emplace_back("zone-" + std::to_string(index % 3), index);
        balancers.back().setAgents(agents, start);
    }
    std::vector<std::array<std::uint32_t, hostCount>> known(balancerCount);
    std::vector<double> waits;
    std::exponential_distribution<double> gap(capacity * load);
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    double nextReport = 0;
    std::uint64_t sequence = 0;
    std::uint32_t port = 0;
    for (double now = gap(random); now < simulatedMs; now += gap(random)) {
        const auto at = [&](double time) { return start + microseconds(static_cast<std::int64_t>(time * 1000)); };
        for (; nextReport <= now; nextReport += reportAgeMs) {
            ++sequence;
            for (std::uint32_t host = 0; host < hostCount; ++host) {
                AgentLoad report;
                report.incarnation = 1;
                report.sequence = sequence;
                report.slots = slots;
                report.working = hosts.occupied(host, nextReport);
                report.meanWork = microseconds(static_cast<std::int64_t>(1000 * meanWorkMs * workFactor(host)));
                for (std::size_t index = 0; index < balancerCount; ++index) {
                    balancers[index].report(agentOf(host), report, at(nextReport));
                    known[index][host] = report.working;
                }
            }
        }
        const std::size_t balancer = random() % balancerCount;
        std::uint32_t chosen = 0;
        if (policy == Policy::Product) {
            const FlowKey flow { { 0x64400001, static_cast<std::uint16_t>(++port) },
                { 0xC6120001 + port / 65536, 443 } };
            chosen = balancers[balancer].choose("job", flow, FlowUrgency::InTime, {}, at(now))->agent.address - 1;
        } else {
            const auto cost = [&](std::uint32_t host) {
                return policy == Policy::FullKnowledge ? hosts.wait(host, now)
                                                       : static_cast<double>(known[balancer][host]);
            };
            const auto offset = static_cast<std::uint32_t>(random() % hostCount);
            chosen = offset;
            for (std::uint32_t step = 1; step < hostCount; ++step) {
                const std::uint32_t host = (offset + step) % hostCount;
                chosen = cost(host) < cost(chosen) ? host : chosen;
            }
            ++known[balancer][chosen];
        }
        waits.push_back(hosts.place(chosen, now, meanWorkMs * spread(random)));
    }
    const auto rank = waits.begin() + static_cast<std::ptrdiff_t>(waits.size() * 99 / 100);
    std::nth_element(waits.begin(), rank, waits.end());
    return *rank;
}

}

TEST_CASE("with old reports the p99 wait for a slot is far below that of the least loaded of all")
{
    for (const double load : { 0.4, 0.65, 0.9 }) {
        for (const double age : { 20.0, 200.0, 800.0 }) {
            const double product = waitP99(Policy::Product, load, age);
            const double leastOfAll = waitP99(Policy::LeastOfAll, load, age);
            const double fullKnowledge = waitP99(Policy::FullKnowledge, load, age);
            CAPTURE(load);
            CAPTURE(age);
            MESSAGE("load ", load, ", reports ", age, " ms old: p99 wait ", product, " ms; least of all ", leastOfAll,
                " ms; full knowledge ", fullKnowledge, " ms");
            if (age >= 200) {
                CHECK(product <= leastOfAll / 2);
            }
        }
    }
}

// Guards against slow backend servers that get as many flows as fast ones.
TEST_CASE("a distinctly slow candidate is chosen only if the others are expected to be busy")
{
    std::array<CandidateLoad, 3> candidates { {
        { true, milliseconds(0), milliseconds(20), microseconds(0), 0 },
        { true, milliseconds(0), milliseconds(24), microseconds(0), 0 },
        { true, milliseconds(0), milliseconds(60), microseconds(0), 0 },
    } };
    interpretLoads(candidates);
    CHECK(candidates[0].costMs == doctest::Approx(candidates[1].costMs)); // within the spread of the mean
    CHECK(candidates[2].costMs > candidates[0].costMs + 30);
}

TEST_CASE("a report that has lasted for many requests says nothing, one of an agent that reports each change does")
{
    std::array<CandidateLoad, 2> candidates { {
        { true, milliseconds(500), milliseconds(20), milliseconds(40), 40 },
        { true, milliseconds(0), milliseconds(20), milliseconds(0), 0 },
    } };
    interpretLoads(candidates);
    CHECK(candidates[0].costMs == doctest::Approx(20));
    CHECK(candidates[0].wait == milliseconds(20));
    CHECK(candidates[1].costMs == doctest::Approx(0));
}
