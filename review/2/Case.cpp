// One balancer is partitioned from the store for 1.7 s (`core_cut`, one machine) while a host is drained. The answer of
// the watch that was held up by the partition arrives after the balancer has taken newer state from its peer.

#include "../harness/Caller.h"
#include "../harness/CaseRun.h"
#include "../harness/Host.h"
#include "../harness/Node.h"
#include "../harness/Store.h"
#include "../harness/StoreLink.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <memory>
#include <mutex>

using namespace review;

namespace {

// From sites/msasani-cut.toml.
constexpr Milliseconds contactTime { 4000 };
constexpr Milliseconds drainTime { 3000 };
constexpr const char* bounds = "bounds.contact-ms=4000\nbounds.drain-ms=3000\nbounds.grace-s=6\n"
                               "bounds.config-apply-ms=3000\nbounds.flow-ttl-s=60\n";

// The host is cold for 2 s and pings every 770 ms, so that its entry changes up to 2.31 s after its start.
constexpr Milliseconds cutBegin { 1900 };
constexpr Milliseconds drainAt { 2700 };
constexpr Milliseconds cutEnd { 3600 };
constexpr Milliseconds exitAt { 12700 };
constexpr Milliseconds trafficEnd { 14000 };
constexpr Milliseconds requestInterval { 60 };
constexpr Milliseconds timeBudget { 1200 };

// A long nick-correction; they take up to 180 ms.
constexpr Milliseconds workTime { 100 };

int run(const std::string& recordPath)
{
    CaseRun run(recordPath);
    Record& record = run.record;
    const bool trouble = CaseRun::hasTrouble();
    std::mutex mutex;
    std::vector<HostEvent> events;
    const Host::Observer observer = [&](const HostEvent& event) {
        const std::lock_guard lock(mutex);
        events.push_back(event);
    };

    Store store({ run.ip(4), 8169 }, Milliseconds(4), std::chrono::seconds(20));
    StoreLink linkOfFirst({ run.ip(5), 8169 }, { run.ip(4), 8169 });
    StoreLink linkOfSecond({ run.ip(6), 8169 }, { run.ip(4), 8169 });
    const Address route { run.ip(200), 443 };
    store.put("op/config",
        R"({"version":7,"routes":[{"name":"r-1","hostname":")" + formatIp(route.ip)
            + R"(","prefix":"/443/","route-type":"unsafe","timeout-ms":1200,"target-latency-ms":120,"priority":1,)"
              R"("service":"job-desk","attempts":2}],"services":[{"name":"job-desk","health-path":"/health",)"
              R"("max-conns":2000,"protocol":"h1","tls":false}],"limits":{"idle-timeout-ms":15000}})");

    const std::string seeds
        = formatAddress({ run.ip(11), Node::controlPort }) + "," + formatAddress({ run.ip(12), Node::controlPort });
    const auto balancer = [&](const std::string& name, const std::string& zone, std::uint32_t ip, std::uint32_t link) {
        return NodePlan { "balancer", name, zone, run.ip(ip), { run.ip(link), 8169 }, seeds, "", bounds };
    };
    const auto agent = [&](const std::string& name, const std::string& zone, std::uint32_t ip) {
        return NodePlan { "agent", name, zone, run.ip(ip), { run.ip(4), 8169 }, seeds, "job-desk", bounds };
    };
    const auto host = [&](const std::string& id, const std::string& zone, std::uint32_t ip) {
        HostPlan plan;
        plan.id = id;
        plan.service = "job-desk";
        plan.zone = zone;
        plan.app = { run.ip(ip), Node::appPort };
        plan.outbound = { run.ip(ip), Node::outboundPort };
        plan.work = workTime;
        return plan;
    };

    Node first(balancer("front-a", "a", 11, 5), run.folder, record);
    Node second(balancer("front-b", "b", 12, 6), run.folder, record);
    Node sideStaying(agent("side-staying", "b", 21), run.folder, record);
    Node sideLeaving(agent("side-leaving", "a", 22), run.folder, record);
    sideStaying.start();
    Host staying(host("i-staying", "b", 21), store, record, observer);
    first.start();
    second.start();
    if (!first.waitReady(Milliseconds(5000)) || !second.waitReady(Milliseconds(5000))) {
        record.line("the balancers did not become ready");
        return notRun;
    }
    // The consumers of zone a; the router of the zone knows its one balancer.
    Caller caller(
        { run.ip(31), Node::packetPort }, timeBudget, record, [&](const Address&) { return first.packets(); });
    CaseRun::sleepUntil(Clock::now() + Milliseconds(3000));

    sideLeaving.start();
    sideLeaving.waitReady(Milliseconds(3000));
    const auto start = Clock::now();
    Host leaving(host("i-leaving", "a", 22), store, record, observer);
    Clock::time_point drainedAt;
    std::thread operations([&] {
        CaseRun::sleepUntil(start + cutBegin);
        if (trouble) {
            linkOfFirst.setCut(true);
            record.line("front-a is partitioned from the store");
        }
        CaseRun::sleepUntil(start + drainAt);
        leaving.drain();
        drainedAt = Clock::now();
        record.line("the store has acknowledged that i-leaving is draining");
        CaseRun::sleepUntil(start + cutEnd);
        linkOfFirst.setCut(false);
        record.line("the partition is over");
        CaseRun::sleepUntil(start + exitAt);
        leaving.exit();
    });
    int number = 0;
    for (auto at = start; at < start + trafficEnd; at += requestInterval) {
        CaseRun::sleepUntil(at);
        caller.send("q-" + std::to_string(++number), "POST", route);
    }
    operations.join();
    caller.finish();
    const bool alive = first.isRunning() && second.isRunning() && sideStaying.isRunning() && sideLeaving.isRunning();
    run.quoteLog(first.logPath(), { "host_changed", "peer_state_taken", "store_lost", "store_regained" });

    // DRAIN: judged by the opening packet, when the consumer sent it and when it reached the host.
    const auto inTouchFrom = start + (trouble ? cutEnd : Milliseconds(0)) + contactTime;
    const auto attempts = caller.attempts();
    int answered = 0;
    int late = 0;
    int lost = 0;
    const std::lock_guard lock(mutex);
    for (const Attempt& attempt : attempts) {
        answered += attempt.result == Attempt::Result::Answered ? 1 : 0;
        for (const HostEvent& event : events) {
            if (event.kind == HostEvent::Kind::Opened && event.caller == attempt.caller && event.host == "i-leaving"
                && attempt.sentAt >= inTouchFrom && event.at > drainedAt + drainTime) {
                ++late;
                lost += attempt.result == Attempt::Result::Answered ? 0 : 1;
                record.line("DRAIN: request " + attempt.request + " sent at "
                    + std::to_string(record.elapsed(attempt.sentAt).count()) + " reached i-leaving at "
                    + std::to_string(record.elapsed(event.at).count()) + ", "
                    + std::to_string(std::chrono::duration_cast<Milliseconds>(event.at - drainedAt).count())
                    + " ms after the acknowledgement");
            }
        }
    }
    record.line("requests " + std::to_string(attempts.size()) + ", answered " + std::to_string(answered)
        + ", late at the draining host " + std::to_string(late) + ", of these without an answer "
        + std::to_string(lost));
    if (!alive || answered == 0) {
        record.line("the case could not run");
        return notRun;
    }
    return late > 0 ? ruleBroken : ruleHeld;
}

}

int main(int argc, char** argv)
{
    try {
        return run(argc > 1 ? argv[1] : "record.txt");
    } catch (const std::exception& error) {
        std::fprintf(stderr, "case 2: %s\n", error.what());
        return notRun;
    }
}
