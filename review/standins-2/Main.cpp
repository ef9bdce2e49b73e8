#include "Caller.h"
#include "Deployment.h"
#include "Host.h"

#include <algorithm>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace review {

namespace {

constexpr int heldStatus = 0;
constexpr int brokenStatus = 1;
constexpr int notRunStatus = 2;

const std::string service = "job-desk";

std::int64_t unixMilliseconds()
{
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// A host with its agent.
std::unique_ptr<Host> addHost(
    Deployment& deployment, Loop& loop, Record& record, int number, const std::string& id, milliseconds work)
{
    return std::make_unique<Host>(loop, record, id, Address { deployment.machine(number), Deployment::applicationPort },
        Address { deployment.machine(number), Deployment::outboundPort }, work);
}

bool allReady(const Deployment& deployment, int balancers)
{
    for (int number = 1; number <= balancers; ++number) {
        if (!deployment.isReady(number)) {
            return false;
        }
    }
    return true;
}

int notRun(Record& record, const std::string& reason)
{
    record.line("not run: " + reason);
    std::cerr << "not run: " << reason << "\n";
    return notRunStatus;
}

int verdict(Record& record, const std::string& rule, std::size_t violations, const std::string& summary)
{
    record.line(summary);
    record.line(rule + (violations > 0 ? " broken " + std::to_string(violations) + " times" : " held"));
    std::cout << summary << "\n" << rule << (violations > 0 ? " broken" : " held") << "\n";
    return violations > 0 ? brokenStatus : heldStatus;
}

// Callers keep flows open for two requests with a pause of three seconds between them. With the trouble they also pause
// between the handshake and the first request.
int runQuietFlows(Record& record, bool trouble)
{
    constexpr int balancers = 2;
    constexpr int firstHost = 11;
    constexpr milliseconds pause { 3000 };
    Loop loop;
    Deployment deployment(loop, record);
    const auto born = unixMilliseconds();
    std::vector<std::unique_ptr<Host>> hosts;
    deployment.writeConfiguration(3, 1200);
    for (int index = 0; index < 2; ++index) {
        hosts.push_back(
            addHost(deployment, loop, record, firstHost + index, "i-" + std::to_string(index + 1), milliseconds(17)));
        deployment.addAgent(firstHost + index, service);
        deployment.writeHost(*hosts.back(), firstHost + index, service, "ready", born);
    }
    for (int number = 1; number <= balancers; ++number) {
        deployment.addBalancer(number);
    }
    loop.runFor(milliseconds(5000)); // beyond contact-ms
    if (!allReady(deployment, balancers)) {
        return notRun(record, "a balancer is not ready");
    }
    Caller caller(loop, record, { deployment.machine(100), Deployment::packetPort }, Deployment::route,
        [&](const FlowEnds& ends) {
            return Address { deployment.machine(1 + ends.caller.port % balancers), Deployment::packetPort };
        });
    std::size_t broken = 0;
    caller.onReset([&](const Call& call) {
        for (const auto& host : hosts) {
            if (host->holdsOpen(call.ends)) {
                ++broken;
                record.line("FLOW: the flow of " + call.id + " is open at host " + host->name() + ", which lives");
            }
        }
    });
    constexpr int calls = 20;
    for (int index = 0; index < calls; ++index) {
        Call call;
        call.id = "correction-" + std::to_string(index + 1);
        call.pauses = { trouble ? pause : milliseconds(0), pause };
        caller.start(call);
        loop.runFor(milliseconds(100));
    }
    loop.runFor(milliseconds(9000));
    std::size_t opened = 0;
    std::size_t answered = 0;
    std::size_t reset = 0;
    for (const auto& call : caller.calls()) {
        opened += call->opened ? 1 : 0;
        answered += call->answered;
        reset += call->resetBySystem ? 1 : 0;
    }
    if (opened < calls / 2) {
        return notRun(record, "only " + std::to_string(opened) + " flows opened");
    }
    return verdict(record, "FLOW", broken,
        std::to_string(calls) + " flows, " + std::to_string(opened) + " opened, " + std::to_string(answered)
            + " requests answered, " + std::to_string(reset) + " flows reset by the system");
}

// A host is added with its agent. Callers keep flows open at it; the agent's process is killed and restarted within
// half a second of the host's start. The callers' second requests follow seconds later.
int runEarlyRestart(Record& record, bool trouble)
{
    constexpr int balancers = 2;
    constexpr int firstHost = 11;
    constexpr int newHost = 13;
    constexpr milliseconds killAfter { 200 };
    constexpr milliseconds restartDelay { 100 };
    constexpr milliseconds secondRequestAfter { 6000 };
    constexpr milliseconds contactTime { 4000 };
    Loop loop;
    Deployment deployment(loop, record);
    std::vector<std::unique_ptr<Host>> hosts;
    deployment.writeConfiguration(3, 1200);
    for (int index = 0; index < 2; ++index) {
        hosts.push_back(
            addHost(deployment, loop, record, firstHost + index, "i-" + std::to_string(index + 1), milliseconds(17)));
        deployment.addAgent(firstHost + index, service);
        deployment.writeHost(*hosts.back(), firstHost + index, service, "ready", unixMilliseconds());
    }
    for (int number = 1; number <= balancers; ++number) {
        deployment.addBalancer(number);
    }
    loop.runFor(milliseconds(5000));
    if (!allReady(deployment, balancers)) {
        return notRun(record, "a balancer is not ready");
    }
    Caller caller(loop, record, { deployment.machine(100), Deployment::packetPort }, Deployment::route,
        [&](const FlowEnds& ends) {
            return Address { deployment.machine(1 + ends.caller.port % balancers), Deployment::packetPort };
        });
    std::size_t broken = 0;
    milliseconds inTouchSince { 0 };
    caller.onReset([&](const Call& call) {
        for (const auto& host : hosts) {
            if (host->holdsOpen(call.ends) && record.now() >= inTouchSince) {
                ++broken;
                record.line("FLOW: the flow of " + call.id + " is open at host " + host->name() + ", which lives");
            }
        }
    });
    deployment.addAgent(newHost, service, false);
    loop.runFor(milliseconds(100));
    const auto born = unixMilliseconds();
    hosts.push_back(addHost(deployment, loop, record, newHost, "i-3", milliseconds(17)));
    deployment.writeHost(*hosts.back(), newHost, service, "ready", born);
    if (trouble) {
        inTouchSince = record.now() + milliseconds(60000); // until the restart
        loop.after(killAfter, [&] { deployment.killProcess(newHost); });
        loop.after(killAfter + restartDelay, [&] {
            deployment.addAgent(newHost, service, false);
            inTouchSince = record.now() + contactTime;
        });
    }
    constexpr int calls = 120;
    for (int index = 0; index < calls; ++index) {
        Call call;
        call.id = "correction-" + std::to_string(index + 1);
        call.pauses = { milliseconds(0), secondRequestAfter };
        caller.start(call);
        loop.runFor(milliseconds(10));
    }
    loop.runFor(milliseconds(9000));
    std::size_t opened = 0;
    std::size_t answered = 0;
    std::size_t reset = 0;
    for (const auto& call : caller.calls()) {
        opened += call->opened ? 1 : 0;
        answered += call->answered;
        reset += call->resetBySystem ? 1 : 0;
    }
    if (opened < calls / 2) {
        return notRun(record, "only " + std::to_string(opened) + " flows opened");
    }
    return verdict(record, "FLOW", broken,
        std::to_string(calls) + " flows, " + std::to_string(opened) + " opened, " + std::to_string(answered)
            + " requests answered, " + std::to_string(reset) + " flows reset by the system");
}

// The store comes back from a copy some seconds old. Some of its answers are lost just after that, while a balancer is
// added. Long after, a host drains that was added between the copy and the loss.
int runOlderCopy(Record& record, bool trouble)
{
    constexpr int balancers = 6;
    constexpr int addedBalancer = 7;
    constexpr int firstHost = 11;
    constexpr int hostCount = 55;
    constexpr int addedHost = 70;
    constexpr milliseconds drainBound { 5000 };
    constexpr milliseconds contactTime { 5000 };
    constexpr milliseconds addedHostExit { 7000 }; // or later, while it works on a request
    constexpr milliseconds addedHostLatestExit { 8500 };
    constexpr milliseconds heartbeat { 770 };
    constexpr milliseconds lossTime { 1000 };
    Loop loop;
    Deployment deployment(loop, record, true);
    Store& store = deployment.platformStore();
    std::uint64_t version = 3;
    deployment.writeConfiguration(version, 1500);
    std::vector<std::unique_ptr<Host>> hosts;
    for (int index = 0; index < hostCount; ++index) {
        hosts.push_back(addHost(
            deployment, loop, record, firstHost + index, "i-" + std::to_string(100 + index), milliseconds(100)));
        deployment.addAgent(firstHost + index, service);
        deployment.writeHost(*hosts.back(), firstHost + index, service, "ready", unixMilliseconds());
    }
    for (int number = 1; number <= balancers; ++number) {
        deployment.addBalancer(number);
    }
    deployment.addAgent(addedHost, service, false);
    loop.runFor(milliseconds(8000));
    if (!allReady(deployment, balancers)) {
        return notRun(record, "a balancer is not ready");
    }
    store.keepCopy();
    record.line("revision of the copy: " + std::to_string(store.currentRevision()));
    const auto born = unixMilliseconds();
    const auto added = addHost(deployment, loop, record, addedHost, "i-200", milliseconds(100));
    for (int beat = 0; beat < 4; ++beat) {
        loop.after(heartbeat * beat, [&, beat] {
            const int cold = std::max(0, 2000 - static_cast<int>(heartbeat.count()) * beat);
            deployment.writeHost(*added, addedHost, service, "ready", born, cold);
        });
    }
    for (int change = 0; change < 9; ++change) {
        loop.after(milliseconds(330 * change), [&] { deployment.writeConfiguration(version += 2, 1500); });
    }
    loop.runFor(milliseconds(3000));
    record.line("revision of the entry of the added host: " + std::to_string(store.revisionOf("servers/i-200")));
    if (trouble) {
        store.setAway(true);
        record.line("store is away");
    }
    loop.runFor(milliseconds(2000));
    if (trouble) {
        store.restoreCopy();
        store.setAway(false);
        store.setLosingFurtherPages(true);
        record.line("store is back from the copy, revision " + std::to_string(store.currentRevision())
            + "; answers to further pages are lost from now on");
    }
    deployment.addBalancer(addedBalancer, false);
    loop.after(milliseconds(400), [&] { deployment.writeHost(*added, addedHost, service, "ready", born); });
    loop.after(milliseconds(500), [&] { deployment.writeConfiguration(version, 1500); });
    loop.runFor(lossTime);
    store.setLosingFurtherPages(false);
    const int answersBefore = store.answers();
    record.line("answers are delivered again; of " + std::to_string(answersBefore + store.lostAnswers()) + " answers "
        + std::to_string(store.lostAnswers()) + " were lost");
    loop.runFor(milliseconds(4500) - lossTime);
    record.line("answers in the 4.5 s since the store is back: " + std::to_string(store.answers() + store.lostAnswers())
        + ", lost " + std::to_string(store.lostAnswers()));
    loop.runFor(contactTime);
    record.line(
        "answers of the store since the losses ended, 8.5 s: " + std::to_string(store.answers() - answersBefore));
    deployment.writeHost(*added, addedHost, service, "draining", born);
    record.line("revision of this entry: " + std::to_string(store.revisionOf("servers/i-200")));
    const auto acknowledgedAt = record.now();
    std::size_t late = 0;
    std::set<std::string> begun;
    added->onOpeningPacket([&](const FlowEnds& ends) {
        const auto age = record.now() - acknowledgedAt;
        if (age > drainBound) {
            ++late;
            record.line("DRAIN: opening packet of " + text(ends) + " reaches host " + added->name() + " "
                + std::to_string(age.count()) + " ms after the store acknowledged that it is draining");
        }
    });
    const auto exitHost = [&] {
        if (added->isRunning()) {
            added->exit();
            store.remove("servers/" + added->name());
            record.line("host " + added->name() + " exits");
        }
    };
    added->onRun([&](const FlowEnds&, const std::string& request) {
        const auto age = record.now() - acknowledgedAt;
        if (age > drainBound) {
            begun.insert(request);
        }
        if (age > addedHostExit) {
            loop.after(milliseconds(50), exitHost);
        }
    });
    loop.after(addedHostLatestExit, exitHost);
    Caller caller(loop, record, { deployment.machine(100), Deployment::packetPort }, Deployment::route,
        [&](const FlowEnds& ends) {
            return Address { deployment.machine(1 + ends.caller.port % balancers), Deployment::packetPort };
        });
    int calls = 0;
    while (record.now() - acknowledgedAt < milliseconds(9000)) {
        Call call;
        call.id = "correction-" + std::to_string(++calls);
        call.budget = milliseconds(1500);
        caller.start(call);
        loop.runFor(milliseconds(4));
    }
    loop.runFor(milliseconds(2500));
    std::size_t opened = 0;
    std::size_t answered = 0;
    std::size_t lost = 0;
    for (const auto& call : caller.calls()) {
        opened += call->opened ? 1 : 0;
        answered += call->answered;
        if (call->answered == 0 && begun.contains(call->id + ".1")) {
            ++lost;
            record.line("request " + call->id + ".1 was begun by the draining host and never answered");
        }
    }
    if (opened < static_cast<std::size_t>(calls) / 2) {
        return notRun(record, "only " + std::to_string(opened) + " flows opened");
    }
    return verdict(record, "DRAIN", late,
        std::to_string(calls) + " flows, " + std::to_string(opened) + " opened, " + std::to_string(answered)
            + " requests answered, " + std::to_string(begun.size())
            + " requests begun at the draining host after the bound, " + std::to_string(lost)
            + " of them never answered");
}

}

}

int main(int argc, char** argv)
{
    using namespace review;
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.size() != 2) {
        std::cerr << "usage: review_standins CASE RECORD\n";
        return notRunStatus;
    }
    const char* variable = std::getenv("TROUBLE");
    const bool trouble = variable == nullptr || std::string(variable) != "0";
    Record record(arguments[1]);
    try {
        if (arguments[0] == "quiet-flows") {
            return runQuietFlows(record, trouble);
        }
        if (arguments[0] == "early-restart") {
            return runEarlyRestart(record, trouble);
        }
        if (arguments[0] == "older-copy") {
            return runOlderCopy(record, trouble);
        }
        return notRun(record, "unknown case " + arguments[0]);
    } catch (const std::exception& error) {
        return notRun(record, error.what());
    }
}
