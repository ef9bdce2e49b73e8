// P4 and P5: a request told not-run was not run, and a key runs at most once, whatever is lost between offer and
// answer. Guards against a holder that calls a granted request not run, a paused claimer that starts outdated work, and
// two coordinators that grant the same key.

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
constexpr std::chrono::milliseconds calmTime { 500 };
constexpr std::chrono::seconds messageLimit { 8 };

// Longer than a holder waits for a silent claimer, so that callers hear what it makes of that.
constexpr std::chrono::seconds patientTimeout { 20 };

// Callers of a killed agent give up after this long and go on over other hosts within the test.
constexpr std::chrono::seconds impatientTimeout { 2 };

// The messages that go over the wire at each step. A rule that holds them up makes the fault strike at that step.
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

// A fault that strikes no message would prove nothing.
std::uint64_t messagesMet(const Cluster& cluster)
{
    std::uint64_t met = 0;
    const nlohmann::json counts = cluster.proxyCounts();
    for (const nlohmann::json& rule : counts.at("rules")) {
        met += rule.at("dropped").get<std::uint64_t>() + rule.at("passed").get<std::uint64_t>();
    }
    return met;
}

// Waits until a message of the step is held up, so that the next fault strikes at that step.
bool waitForMessage(const Cluster& cluster)
{
    const auto end = std::chrono::steady_clock::now() + messageLimit;
    while (messagesMet(cluster) == 0 && std::chrono::steady_clock::now() < end) {
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    return messagesMet(cluster) > 0;
}

struct Load {
    Load(Cluster& cluster, std::chrono::seconds callTimeout)
        : traffic(cluster, history, callTimeout)
    {
        // Run times and the number of callers keep the six slots busy, so that hosts claim each other's requests.
        this->traffic.addBenches(24, 1, std::chrono::milliseconds(2), 0.3, "25ms");
        this->traffic.addWriters(10, std::chrono::milliseconds(20), "25ms");
        std::this_thread::sleep_for(calmTime);
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

void holdUp(const Cluster& cluster, const Step& step)
{
    cluster.setProxyRules({ { { "kinds", step.kinds }, { "delayMs", { 20, 150 } } } });
}

}

TEST_CASE("cut messages between agents run nothing twice and hide no run [P4 P5, cut at each step]")
{
    Cluster cluster(proxiedPlan(401));
    Load load(cluster, patientTimeout);
    for (const Step& step : steps) {
        cluster.setProxyRules({ { { "kinds", step.kinds }, { "drop", 0.5 } } });
        std::this_thread::sleep_for(faultTime);
        CHECK_MESSAGE(messagesMet(cluster) > 0, step.name);
        cluster.setProxyRules(nlohmann::json::array());
        std::this_thread::sleep_for(calmTime);
    }
    load.finish(cluster);
}

TEST_CASE("an agent that is paused and resumed runs nothing twice and hides no run [P4 P5, pause at each step]")
{
    Cluster cluster(proxiedPlan(402));
    Load load(cluster, patientTimeout);
    unsigned number = 0;
    for (const Step& step : steps) {
        ChildProcess& agent = *cluster.host(fmt::format("job-{}", 1 + number++ % 3)).agent;
        holdUp(cluster, step);
        CHECK_MESSAGE(waitForMessage(cluster), step.name);
        cluster.pause(agent);
        std::this_thread::sleep_for(faultTime);
        cluster.resume(agent);
        cluster.setProxyRules(nlohmann::json::array());
        std::this_thread::sleep_for(calmTime);
    }
    load.finish(cluster);
}

TEST_CASE("a killed agent runs nothing twice and hides no run [P4 P5, kill at each step]")
{
    Cluster cluster(proxiedPlan(403));
    Load load(cluster, impatientTimeout);
    unsigned number = 0;
    for (const Step& step : steps) {
        const std::string name = fmt::format("job-{}", 1 + number++ % 3);
        holdUp(cluster, step);
        CHECK_MESSAGE(waitForMessage(cluster), step.name);
        cluster.host(name).agent->send(SIGKILL);
        std::this_thread::sleep_for(faultTime);
        cluster.setProxyRules(nlohmann::json::array());
        cluster.addHost({ name, "job", fmt::format("dar-{}", 1 + number % 3) });
        cluster.waitForVersion(cluster.publish());
    }
    load.finish(cluster);
}

TEST_CASE("a key that is repeated while its coordinator moves runs once [P5, hosts added and drained]")
{
    Cluster cluster(proxiedPlan(404));
    Load load(cluster, patientTimeout);
    cluster.addHost({ "job-4", "job", "dar-1" });
    cluster.publish();
    std::this_thread::sleep_for(calmTime);
    cluster.host("job-2").documentState = "draining";
    cluster.publish();
    std::this_thread::sleep_for(calmTime);
    cluster.host("job-1").labels["quarantined"] = "true";
    cluster.publish();
    std::this_thread::sleep_for(faultTime);
    load.finish(cluster);
}
