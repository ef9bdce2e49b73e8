// Guarantees P4 and P5 of docs/promises.md: a request that was answered with outcome not-run did not run (P4), and an
// idempotency key runs at most once (P5), whichever messages or agents are lost between offer and answer. Guards
// against a holder (the agent that holds the caller's connection) that reports a granted request as not run, a paused
// claimer (the agent that claimed the request) that starts a request after its grant is outdated, and two coordinators
// that grant the same key.

#include "CallHistory.h"
#include "Cluster.h"
#include "RequireCleanHistory.h"
#include "Traffic.h"

#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace chicoryferry::integration;

namespace {

constexpr std::chrono::milliseconds faultTime { 1500 };
constexpr std::chrono::milliseconds faultFreeTime { 500 };
constexpr std::chrono::seconds messageLimit { 8 };

// Longer than a holder waits for a silent claimer, so that callers receive the outcome that the holder reports.
constexpr std::chrono::seconds longCallTimeout { 20 };

// Callers of a killed agent time out after this and continue over other hosts within the test.
constexpr std::chrono::seconds shortCallTimeout { 2 };

// The kinds of messages sent at one step of a request. Delaying them makes a fault occur at that step.
struct Step {
    std::string name;
    std::vector<std::string> kinds;
};

const std::vector<Step> steps {
    { "offer", { "offer", "offer_withdrawn" } },
    { "claim", { "claim", "claim_rejected", "key_acquire", "key_answer" } },
    { "grant", { "grant", "grant_expired", "not_run" } },
    { "run", { "heartbeat", "cancel" } },
    { "answer", { "answer_head", "answer_body", "answer_end", "key_finish" } },
};

// Messages that matched a proxy rule. A fault that affects no message would test nothing.
std::uint64_t matchedMessages(const Cluster& cluster)
{
    std::uint64_t matched = 0;
    const nlohmann::json counts = cluster.proxyCounts();
    for (const nlohmann::json& rule : counts.at("rules")) {
        matched += rule.at("dropped").get<std::uint64_t>() + rule.at("passed").get<std::uint64_t>();
    }
    return matched;
}

// Waits until the proxy has matched a message of the step, so that the next fault occurs at that step.
bool waitForMessage(const Cluster& cluster)
{
    const auto end = std::chrono::steady_clock::now() + messageLimit;
    while (matchedMessages(cluster) == 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return matchedMessages(cluster) > 0;
}

struct Load {
    Load(Cluster& cluster, std::chrono::seconds callTimeout)
        : traffic(cluster, history, callTimeout)
    {
        // These run times and numbers of callers keep the six slots busy, so that hosts claim each other's requests.
        this->traffic.addBenches(24, 1, std::chrono::milliseconds(2), 0.3, "25ms");
        this->traffic.addWriters(10, std::chrono::milliseconds(20), "25ms");
        std::this_thread::sleep_for(faultFreeTime);
    }

    void finish(const Cluster& cluster)
    {
        this->traffic.stop();
        MESSAGE("seed " << cluster.clusterPlan().seed << "\n" << this->history.summary());
        CHECK(this->history.countStatus(200) > 0);
        requireCleanHistory(this->history, cluster);
    }

    CallHistory history;
    Traffic traffic;
};

ClusterPlan proxiedPlan(std::uint64_t seed)
{
    ClusterPlan plan = ClusterPlan::small(seed);
    plan.proxied = true;
    plan.hosts = { { "job-1", "job", "dar-1" }, { "job-2", "job", "dar-2" }, { "job-3", "job", "dar-3" },
        { "drawing-1", "drawing", "dar-1" } };
    return plan;
}

void delayMessages(const Cluster& cluster, const Step& step)
{
    cluster.setProxyRules({ { { "kinds", step.kinds }, { "delayMs", { 20, 150 } } } });
}

}

TEST_CASE("dropped messages between agents cause no second run and no wrong not-run outcome [P4 P5, cut at each step]")
{
    Cluster cluster(proxiedPlan(401));
    Load load(cluster, longCallTimeout);
    for (const Step& step : steps) {
        cluster.setProxyRules({ { { "kinds", step.kinds }, { "drop", 0.5 } } });
        std::this_thread::sleep_for(faultTime);
        CHECK_MESSAGE(matchedMessages(cluster) > 0, step.name);
        cluster.setProxyRules(nlohmann::json::array());
        std::this_thread::sleep_for(faultFreeTime);
    }
    load.finish(cluster);
}

TEST_CASE("pausing and resuming an agent causes no second run and no wrong not-run outcome [P4 P5, pause at each step]")
{
    Cluster cluster(proxiedPlan(402));
    Load load(cluster, longCallTimeout);
    unsigned number = 0;
    for (const Step& step : steps) {
        ChildProcess& agent = *cluster.host(fmt::format("job-{}", 1 + number++ % 3)).agent;
        delayMessages(cluster, step);
        CHECK_MESSAGE(waitForMessage(cluster), step.name);
        cluster.pause(agent);
        std::this_thread::sleep_for(faultTime);
        cluster.resume(agent);
        cluster.setProxyRules(nlohmann::json::array());
        std::this_thread::sleep_for(faultFreeTime);
    }
    load.finish(cluster);
}

TEST_CASE("killing an agent causes no second run and no wrong not-run outcome [P4 P5, kill at each step]")
{
    Cluster cluster(proxiedPlan(403));
    Load load(cluster, shortCallTimeout);
    unsigned number = 0;
    for (const Step& step : steps) {
        const std::string name = fmt::format("job-{}", 1 + number++ % 3);
        delayMessages(cluster, step);
        CHECK_MESSAGE(waitForMessage(cluster), step.name);
        cluster.host(name).agent->send(SIGKILL);
        std::this_thread::sleep_for(faultTime);
        cluster.setProxyRules(nlohmann::json::array());
        cluster.addHost({ name, "job", fmt::format("dar-{}", 1 + number % 3) });
        cluster.waitForVersion(cluster.publish());
    }
    load.finish(cluster);
}

TEST_CASE("a key that is repeated while its coordinator changes runs at most once [P5, hosts added and drained]")
{
    Cluster cluster(proxiedPlan(404));
    Load load(cluster, longCallTimeout);
    cluster.addHost({ "job-4", "job", "dar-1" });
    cluster.publish();
    std::this_thread::sleep_for(faultFreeTime);
    cluster.host("job-2").documentState = "draining";
    cluster.publish();
    std::this_thread::sleep_for(faultFreeTime);
    cluster.host("job-1").labels["quarantined"] = "true";
    cluster.publish();
    std::this_thread::sleep_for(faultTime);
    load.finish(cluster);
}
