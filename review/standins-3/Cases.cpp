// The cases of the third review that are shown with processes. Usage: cases NAME RECORD

#include "Fleet.h"

#include <algorithm>
#include <csignal>
#include <iostream>

namespace review {

namespace {

constexpr int ruleHeld = 0;
constexpr int ruleBroken = 1;
constexpr int couldNotRun = 2;

constexpr Milliseconds contactMs = 4000;
constexpr Milliseconds idleTimeoutMs = 15000;
constexpr Milliseconds flowTtlMs = 60000;

const Address jobRoute { 0xC6120001U, 443 }; // 198.18.0.1

int conclude(Deployment& deployment, std::size_t broken, const std::string& what)
{
    if (deployment.processesEndedByThemselves()) {
        deployment.record.line("verdict: could not be judged, a process has ended by itself");
        return couldNotRun;
    }
    deployment.record.line("verdict: " + std::to_string(broken) + " " + what);
    std::cout << broken << " " << what << "\n";
    return broken > 0 ? ruleBroken : ruleHeld;
}

// FLOW (a): the store comes back from a copy that lacks a new server, and balancers that do not read the store forget
// the server. Later, planned work moves its open flows to such a balancer, which resets them.
int runRestoredStore(const std::string& recordPath)
{
    Deployment deployment(6, recordPath);
    Loop& loop = deployment.loop;
    deployment.configure(3, { { jobRoute, "job-desk" } });
    deployment.addServer("job-desk", true);
    deployment.addServer("job-desk", true);
    deployment.startAll();
    if (!deployment.waitUntilReady(15000)) {
        return couldNotRun;
    }
    loop.runUntil(loop.now() + 5000);

    deployment.store.keepCopy();
    const Server& added = deployment.addServer("job-desk", false);
    deployment.record.line("server " + added.name() + " is added (scale_out)");
    constexpr Milliseconds copyAge = 4000;
    loop.runUntil(loop.now() + copyAge);
    if (hasTrouble()) {
        deployment.record.line("store: away");
        deployment.store.goAway();
        loop.runUntil(loop.now() + 200);
        deployment.store.comeBackFromCopy();
        deployment.record.line("store: back from a copy that is 4.2 s old; servers write their entries again");
    }
    loop.runUntil(loop.now() + contactMs + 1000);

    std::vector<std::string> broken;
    std::size_t lost = 0;
    deployment.consumers->onReset = [&](Consumers::Flow& flow) {
        const Milliseconds now = loop.now();
        const Milliseconds idleSince = flow.requests.empty() ? flow.opened : flow.requests.back().sent;
        const bool counts = now - flow.started < flowTtlMs && now - idleSince < idleTimeoutMs;
        for (const auto& server : deployment.servers) {
            if (counts && server->isAlive() && server->holdsOpen(flow.consumer, flow.route)) {
                broken.push_back(text(flow.consumer));
                lost += !flow.requests.empty() && flow.requests.back().answered < 0 ? 1 : 0;
                deployment.record.line("FLOW broken: flow " + text(flow.consumer) + " is open at " + server->name()
                    + ", which lives; a request was unanswered");
            }
        }
    };
    // Flows that stay open, with a request a second each.
    for (int number = 0; number < 120; ++number) {
        deployment.consumers->open(jobRoute, 1000);
        loop.runUntil(loop.now() + 20);
    }
    loop.runUntil(loop.now() + 1500);
    // Planned work: the balancers are stopped and started in turn.
    for (const auto& node : deployment.balancers) {
        deployment.record.line(node->name() + " gets SIGTERM (roll_term)");
        node->signal(SIGTERM);
        loop.runUntil(loop.now() + 1300);
    }
    loop.runUntil(loop.now() + 6000);
    deployment.consumers->onReset = nullptr;
    deployment.record.line("requests unanswered because of these resets: " + std::to_string(lost));
    return conclude(deployment, broken.size(), "open flows of a live server were reset by the system (FLOW)");
}

// DRAIN: the store gives four of twelve balancers no response, those that read it among them. The others, which reach
// the store, learn too late that a server is draining.
int runSilentReaders(const std::string& recordPath)
{
    Deployment deployment(12, recordPath);
    Loop& loop = deployment.loop;
    deployment.configure(3, { { jobRoute, "job-desk" } });
    for (int number = 0; number < 4; ++number) {
        deployment.addServer("job-desk", true);
    }
    deployment.startAll();
    if (!deployment.waitUntilReady(15000)) {
        return couldNotRun;
    }
    loop.runUntil(loop.now() + contactMs + 4000);

    const Milliseconds end = loop.now() + 9000;
    std::function<void()> traffic = [&] {
        deployment.consumers->open(jobRoute, 0);
        if (loop.now() < end) {
            loop.after(6, traffic);
        }
    };
    traffic();
    loop.runUntil(loop.now() + 1500);
    deployment.configure(5, { { jobRoute, "job-desk" }, { { jobRoute.ip, 444 }, "job-desk" } });
    loop.runUntil(loop.now() + 300);
    std::set<std::uint32_t> turnedAway;
    const auto order = deployment.readerOrder();
    for (std::size_t rank = 0; hasTrouble() && rank < 4; ++rank) {
        turnedAway.insert(deployment.balancerIp(order[rank]));
        deployment.store.setDoor(deployment.storeIp(order[rank]), Store::Door::Silent);
        deployment.record.line(
            "store: gives " + deployment.balancers[order[rank]]->name() + " no response from now on");
    }
    loop.runUntil(loop.now() + 100);
    Server& leaving = *deployment.servers.front();
    leaving.drain();
    const Milliseconds acknowledged = loop.now();
    constexpr Milliseconds drainMs = 3000;
    loop.after(drainMs + 200, [&leaving] { leaving.leave(); });
    loop.runUntil(end + 1500);

    std::map<std::string, const Consumers::Flow*> flows;
    for (const Consumers::Flow& flow : deployment.consumers->all()) {
        for (const Consumers::Request& request : flow.requests) {
            flows[request.id] = &flow;
        }
    }
    std::size_t broken = 0;
    std::size_t lost = 0;
    Milliseconds last = 0;
    for (const Server::Run& run : leaving.runs()) {
        last = std::max(last, run.openedBy - acknowledged);
        const Consumers::Flow* flow = flows[run.request];
        if (flow == nullptr || run.openedBy <= acknowledged + drainMs || turnedAway.contains(flow->firstNode)
            || turnedAway.contains(flow->lastNode)) {
            continue;
        }
        ++broken;
        lost += run.answered ? 0 : 1;
        deployment.record.line("DRAIN broken: " + run.request + " reached " + leaving.name() + " "
            + std::to_string(run.openedBy - acknowledged) + " ms after the acknowledgement, through "
            + ipText(flow->firstNode) + (run.answered ? "" : "; it was never answered"));
    }
    deployment.record.line("the last request was opened " + std::to_string(last) + " ms after the acknowledgement");
    deployment.record.line("of these, never answered: " + std::to_string(lost));
    return conclude(
        deployment, broken, "requests reached a draining server too late through balancers in touch (DRAIN)");
}

}

}

int main(int count, char** arguments)
{
    if (count == 3 && std::string(arguments[1]) == "restored-store") {
        return review::runRestoredStore(arguments[2]);
    }
    if (count == 3 && std::string(arguments[1]) == "silent-readers") {
        return review::runSilentReaders(arguments[2]);
    }
    std::cerr << "usage: cases NAME RECORD\n";
    return review::couldNotRun;
}
