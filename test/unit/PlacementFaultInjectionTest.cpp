#include "coordination/RequestPlacement.h"
#include "protocol/Configuration.h"
#include "protocol/InstanceList.h"
#include "state/ConfigurationView.h"
#include "support/Metrics.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <rapidcheck.h>
#include <set>
#include <string>
#include <vector>

using namespace chicoryferry;
using std::chrono::milliseconds;

namespace {

using TimePoint = std::chrono::steady_clock::time_point;

// Size of the simulated fleet and rates of its faults, in events per thousand opportunities.
struct FaultScenario {
    unsigned hosts { 3 };
    unsigned slots { 2 };
    unsigned loss { 0 }; // of messages
    unsigned duplication { 0 };
    unsigned longDelay { 0 }; // of up to 2 s; other messages take up to 5 ms
    unsigned pauses { 0 }; // starts per step of 10 ms
    unsigned partitions { 0 };
    unsigned restarts { 0 };
    unsigned removals { 0 }; // planned: drained, terminated and started again
    unsigned configurationChanges { 0 };
    unsigned runFailures { 0 };
    unsigned callerDisconnects { 0 };
    std::uint64_t seed { 0 };
};

struct Message {
    PeerIdentity from;
    PeerIdentity to;
    wire::PeerMessage content;
};

struct Run {
    std::string host;
    PeerIdentity holder;
    std::uint64_t request { 0 };
    std::uint64_t claim { 0 };
};

struct Agent {
    PeerIdentity identity;
    std::unique_ptr<RequestPlacement> placement;
    std::uint64_t version { 0 };
    TimePoint pausedUntil;
    bool knowsDraining { false };
    std::uint64_t removalVersion { 0 }; // version that drains it before its planned removal; 0: none is planned
    bool terminating { false };
    std::set<std::uint64_t> running; // indices of runs that hold a slot
    std::vector<std::uint64_t> pendingRequests; // requests that have not ended
};

struct Outcome {
    std::string key;
    bool started { false };
    bool refusedNotRun { false };
    bool ended { false };
    unsigned runs { 0 };
};

// Runs the RequestPlacement objects of all hosts on one simulated clock. Events are ordered by time, then by
// insertion.
class FaultInjectionSimulation {
public:
    explicit FaultInjectionSimulation(const FaultScenario& chosen)
        : scenario(chosen)
        , random(chosen.seed)
    {
        Configuration first;
        first.version = 1;
        first.retention = std::chrono::seconds(600);
        Service service;
        service.name = "job";
        service.id = serviceId("job");
        first.services.push_back(service);
        first.callerGroups.push_back({ "benches", { { 0, 0 } } });
        first.bindings.push_back({ "job", "benches", Selector() });
        for (unsigned index = 0; index < this->scenario.hosts; ++index) {
            Host host;
            host.name = "host-" + std::to_string(index);
            host.incarnation = 1;
            host.slots = this->scenario.slots;
            first.hosts.push_back(host);
        }
        this->versions.push_back(std::make_shared<Configuration>(first));
        for (const Host& host : first.hosts) {
            this->startAgent(host.name, 1);
        }
    }

    void simulate()
    {
        for (int step = 0; step < 400; ++step) {
            this->injectFaults();
            this->submitRequests();
            this->advanceTime();
        }
        // Without new requests and faults, every request ends within its deadline and the limits for silent peers.
        this->faultsDisabled = true;
        for (int step = 0; step < 1500 && this->hasPendingRequests(); ++step) {
            this->advanceTime();
        }
    }

    std::vector<std::string> violations;
    std::size_t runCount { 0 };
    std::map<std::string, std::size_t> refusals; // by reason
    std::size_t requestCount() const { return this->outcomes.size(); }

    void checkOutcomes()
    {
        for (const auto& [name, agent] : this->agents) {
            for (const std::uint64_t request : agent.pendingRequests) {
                this->recordViolation(fmt::format("request {} at {} did not end", request, name));
            }
        }
        for (const auto& [request, outcome] : this->outcomes) {
            if (outcome.refusedNotRun && outcome.started) {
                this->recordViolation(fmt::format("request {} was refused as not run, and ran", request));
            }
        }
        for (const auto& [key, times] : this->runsOfKey) {
            if (times > 1) {
                this->recordViolation(fmt::format("key {} ran {} times", key, times));
            }
        }
    }

private:
    bool chance(unsigned perThousand) { return !this->faultsDisabled && this->random() % 1000 < perThousand; }
    unsigned below(unsigned limit) { return static_cast<unsigned>(this->random() % limit); }

    void recordViolation(const std::string& text) { this->violations.push_back(text); }

    bool hasPendingRequests() const
    {
        return std::any_of(this->agents.begin(), this->agents.end(),
            [](const auto& entry) { return !entry.second.pendingRequests.empty(); });
    }

    std::shared_ptr<const ConfigurationView> viewOf(std::uint64_t version) const
    {
        std::vector<std::shared_ptr<const Configuration>> history;
        for (std::uint64_t earlier = version - 1; earlier >= 1; --earlier) {
            history.push_back(this->versions[earlier - 1]);
        }
        return std::make_shared<ConfigurationView>(
            this->versions[version - 1], std::make_shared<InstanceList>(), history);
    }

    void startAgent(const std::string& name, std::uint64_t incarnation)
    {
        Agent& agent = this->agents[name];
        // Callers of a replaced process lose their connections, which ends their requests.
        agent.pendingRequests.clear();
        agent.running.clear();
        agent.identity = { name, incarnation };
        agent.placement = std::make_unique<RequestPlacement>(agent.identity, this->metrics);
        agent.pausedUntil = {};
        agent.knowsDraining = false;
        agent.removalVersion = 0;
        agent.terminating = false;
        agent.version = 0;
        this->publish(agent, this->versions.size());
    }

    void publish(Agent& agent, std::uint64_t version)
    {
        if (version <= agent.version) {
            return;
        }
        agent.version = version;
        for (const Host& host : this->versions[version - 1]->hosts) {
            if (host.name == agent.identity.instance) {
                agent.knowsDraining = host.state == HostState::Draining;
            }
        }
        this->execute(agent, agent.placement->viewChanged(this->now, this->viewOf(version), true));
    }

    void injectFaults()
    {
        const auto selected = std::next(this->agents.begin(), this->below(this->scenario.hosts));
        Agent& agent = selected->second;
        if (this->chance(this->scenario.pauses)) {
            agent.pausedUntil = this->now + milliseconds(this->below(3000));
        }
        if (this->chance(this->scenario.partitions)) {
            this->partitionedUntil[selected->first] = this->now + milliseconds(this->below(4000));
        }
        if (this->chance(this->scenario.restarts)) {
            this->restart(agent);
        }
        if (this->chance(this->scenario.configurationChanges)) {
            this->changeConfiguration();
        }
        if (this->chance(this->scenario.removals) && agent.removalVersion == 0) {
            this->drain(agent);
        }
        for (auto& [name, other] : this->agents) {
            if (other.version < this->versions.size() && this->below(100) < 5) {
                this->publish(other, other.version + 1 + this->below(this->versions.size() - other.version));
            }
        }
    }

    void restart(Agent& agent)
    {
        const std::uint64_t incarnation = agent.identity.incarnation + 1;
        const std::string name = agent.identity.instance;
        Configuration next = *this->versions.back();
        next.version = this->versions.size() + 1;
        for (Host& host : next.hosts) {
            if (host.name == name) {
                host.incarnation = incarnation;
                host.state = agent.terminating ? HostState::Active : host.state;
            }
        }
        // The platform may detect the restart before or after the new process starts.
        if (this->below(2) == 0) {
            this->versions.push_back(std::make_shared<Configuration>(next));
            this->startAgent(name, incarnation);
        } else {
            this->startAgent(name, incarnation);
            this->versions.push_back(std::make_shared<Configuration>(next));
        }
    }

    void drain(Agent& agent)
    {
        Configuration next = *this->versions.back();
        next.version = this->versions.size() + 1;
        for (Host& host : next.hosts) {
            if (host.name == agent.identity.instance) {
                host.state = HostState::Draining;
            }
        }
        this->versions.push_back(std::make_shared<Configuration>(next));
        agent.removalVersion = next.version;
    }

    // Sends SIGTERM once the drain is in force on the host, and replaces the process when it has no work left.
    void continueRemoval(Agent& agent)
    {
        if (agent.removalVersion == 0 || agent.version < agent.removalVersion) {
            return;
        }
        if (!agent.terminating) {
            agent.terminating = true;
            this->execute(agent, agent.placement->startDraining(this->now));
        } else if (agent.pendingRequests.empty() && agent.placement->requestsInFlight() == 0
            && !agent.placement->isTransferringKeyRecords()) {
            this->restart(agent);
        }
    }

    void changeConfiguration()
    {
        Configuration next = *this->versions.back();
        next.version = this->versions.size() + 1;
        Host& host = next.hosts[this->below(this->scenario.hosts)];
        const bool serving = host.labels.empty();
        switch (this->below(3)) {
        case 0:
            host.state = host.state == HostState::Active ? HostState::Draining : HostState::Active;
            break;
        case 1:
            host.slots = 1 + this->below(this->scenario.slots);
            break;
        default:
            // A quarantined host serves no callers; its keys move to other coordinators.
            host.labels = serving ? std::map<std::string, std::string> { { "quarantined", "" } }
                                  : std::map<std::string, std::string> {};
            break;
        }
        next.bindings[0].selector = Selector::parse("!quarantined");
        this->versions.push_back(std::make_shared<Configuration>(next));
    }

    void submitRequests()
    {
        for (unsigned arrivals = this->below(3); arrivals > 0; --arrivals) {
            Agent& agent = std::next(this->agents.begin(), this->below(this->scenario.hosts))->second;
            if (agent.pausedUntil > this->now) {
                continue;
            }
            const std::uint64_t request = this->nextRequest++;
            RequestDescription description;
            description.request = request;
            description.service = "job";
            description.callerGroup = "benches";
            description.caller = { this->below(5), 1000 };
            description.route.deadline = milliseconds(200 + this->below(3000));
            if (this->below(2) == 0) {
                description.method = "POST";
                description.target = "/correction";
                description.route.repeatable = false;
                description.idempotencyKey = "key-" + std::to_string(this->below(1 + request / 3));
                description.fingerprint = 7;
            } else {
                description.method = "GET";
                description.route.path = this->below(10) == 0 ? "/drawing/" : "/layout/";
                description.target = description.route.path + std::to_string(this->below(4));
                description.route.shareable = this->below(2) == 0;
            }
            this->outcomes[request].key = description.idempotencyKey.value_or("");
            agent.pendingRequests.push_back(request);
            this->execute(agent, agent.placement->requestArrived(this->now, description));
        }
    }

    // Advances the clock by 10 ms: delivers messages and ends of runs in order, then ticks every process that is not
    // paused.
    void advanceTime()
    {
        const TimePoint end = this->now + milliseconds(10);
        while (!this->events.empty() && this->events.begin()->first <= end) {
            auto event = this->events.begin();
            this->now = std::max(this->now, event->first);
            const std::function<void()> action = std::move(event->second);
            this->events.erase(event);
            action();
        }
        this->now = end;
        for (auto& [name, agent] : this->agents) {
            if (agent.pausedUntil > this->now) {
                continue;
            }
            if (this->chance(this->scenario.callerDisconnects) && !agent.pendingRequests.empty()) {
                const std::uint64_t request = agent.pendingRequests[this->below(agent.pendingRequests.size())];
                std::erase(agent.pendingRequests, request);
                this->execute(agent, agent.placement->callerDisconnected(this->now, request));
            }
            this->execute(agent, agent.placement->tick(this->now));
            this->continueRemoval(agent);
        }
    }

    void schedule(TimePoint at, std::function<void()> action) { this->events.emplace(at, std::move(action)); }

    bool isPartitioned(const std::string& name) const
    {
        const auto found = this->partitionedUntil.find(name);
        return found != this->partitionedUntil.end() && found->second > this->now;
    }

    void send(const Message& message)
    {
        if (this->chance(this->scenario.loss)) {
            return;
        }
        const int copies = this->chance(this->scenario.duplication) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            const unsigned delay = this->chance(this->scenario.longDelay) ? this->below(2000) : this->below(5);
            this->schedule(this->now + milliseconds(delay), [this, message] { this->deliver(message); });
        }
    }

    void deliver(const Message& message)
    {
        Agent& agent = this->agents.at(message.to.instance);
        if (this->isPartitioned(message.to.instance) != this->isPartitioned(message.from.instance)) {
            return;
        }
        if (agent.pausedUntil > this->now) {
            // Messages wait in the socket of a paused process.
            this->schedule(agent.pausedUntil, [this, message] { this->deliver(message); });
            return;
        }
        this->execute(agent, agent.placement->messageReceived(this->now, message.from, message.content));
    }

    void execute(Agent& agent, const PlacementActions& actions)
    {
        for (const PlacementAction& action : actions) {
            std::visit([&](const auto& which) { this->executeAction(agent, which); }, action);
        }
    }

    void executeAction(Agent& agent, const SendToPeer& action)
    {
        this->send({ agent.identity, action.peer, action.message });
    }

    void executeAction(Agent& agent, const GrantToPeer& action)
    {
        Message message { agent.identity, action.claimer, {} };
        message.content.mutable_grant()->set_request(action.request);
        message.content.mutable_grant()->set_claim(action.claim);
        message.content.mutable_grant()->set_service("job");
        this->send(message);
    }

    void executeAction(Agent& agent, const RunOwnRequest& action)
    {
        this->startRun(agent, agent.identity, action.request, action.claim);
    }

    void executeAction(Agent& agent, const RunPeerRequest& action)
    {
        this->startRun(agent, action.holder, action.request, action.claim);
    }

    void executeAction(Agent& agent, const CancelRun& action)
    {
        std::erase_if(agent.running, [&](std::uint64_t index) {
            const Run& run = this->runs.at(index);
            return run.holder == action.holder && run.request == action.request && run.claim == action.claim;
        });
    }

    void executeAction(Agent& agent, const RefuseRequest& action)
    {
        Outcome& outcome = this->outcomes.at(action.request);
        ++this->refusals[action.reason];
        if (std::erase(agent.pendingRequests, action.request) == 0) {
            this->recordViolation(fmt::format("request {} ended twice", action.request));
        }
        outcome.refusedNotRun = outcome.refusedNotRun || action.outcome == RunOutcome::NotRun;
    }

    void executeAction(Agent& agent, const ShareAnswer& action)
    {
        this->sharedRequests[{ agent.identity, action.leader }].push_back(action.request);
    }

    void startRun(Agent& agent, const PeerIdentity& holder, std::uint64_t request, std::uint64_t claim)
    {
        if (agent.knowsDraining) {
            this->recordViolation(fmt::format("draining {} started request {}", agent.identity.instance, request));
        }
        const std::uint64_t index = this->runs.size();
        this->runs[index] = { agent.identity.instance, holder, request, claim };
        agent.running.insert(index);
        ++this->runCount;
        if (agent.running.size() > this->scenario.slots) {
            this->recordViolation(fmt::format("{} runs at once on {}", agent.running.size(), agent.identity.instance));
        }
        if (this->chance(this->scenario.runFailures) && this->below(2) == 0) {
            // The backend server refuses the connection: the request did not reach it.
            this->schedule(this->now, [this, index, name = agent.identity] {
                this->endRun(index, name, { RunOutcome::NotRun, 0, "backend_refused" });
            });
            return;
        }
        Outcome& outcome = this->outcomes.at(request);
        outcome.started = true;
        if (!outcome.key.empty()) {
            ++this->runsOfKey[outcome.key];
        }
        const bool fails = this->chance(this->scenario.runFailures);
        const RunResult result = fails ? RunResult { RunOutcome::Unknown, 0, "backend_closed" }
                                       : RunResult { RunOutcome::Completed, 200, "" };
        this->schedule(this->now + milliseconds(5 + this->below(this->below(20) == 0 ? 1000 : 50)),
            [this, index, name = agent.identity, result] { this->endRun(index, name, result); });
    }

    void endRun(std::uint64_t index, const PeerIdentity& host, const RunResult& result)
    {
        Agent& agent = this->agents.at(host.instance);
        if (agent.identity != host || !agent.running.contains(index)) {
            return;
        }
        if (agent.pausedUntil > this->now) {
            this->schedule(agent.pausedUntil, [this, index, host, result] { this->endRun(index, host, result); });
            return;
        }
        agent.running.erase(index);
        const Run run = this->runs.at(index);
        if (run.holder == agent.identity) {
            this->deliverResult(run, result);
            return;
        }
        this->execute(agent, agent.placement->peerRunEnded(this->now, run.holder, run.request, run.claim, result));
        if (result.outcome != RunOutcome::NotRun && !this->chance(this->scenario.loss)) {
            this->schedule(
                this->now + milliseconds(this->below(5)), [this, run, result] { this->deliverResult(run, result); });
        }
    }

    // Delivers the result of a run to the holder's broker.
    void deliverResult(const Run& run, const RunResult& result)
    {
        Agent& holder = this->agents.at(run.holder.instance);
        if (holder.identity != run.holder
            || this->isPartitioned(run.host) != this->isPartitioned(run.holder.instance)) {
            return;
        }
        if (holder.pausedUntil > this->now) {
            this->schedule(holder.pausedUntil, [this, run, result] { this->deliverResult(run, result); });
            return;
        }
        if (result.outcome == RunOutcome::Completed) {
            std::erase(holder.pendingRequests, run.request);
            for (const std::uint64_t sharer : this->sharedRequests[{ run.holder, run.request }]) {
                std::erase(holder.pendingRequests, sharer);
            }
        }
        this->execute(holder, holder.placement->runEnded(this->now, run.request, run.claim, result));
    }

    FaultScenario scenario;
    std::mt19937_64 random;
    Metrics metrics;
    TimePoint now { std::chrono::hours(1) };
    std::vector<std::shared_ptr<const Configuration>> versions;
    std::map<std::string, Agent> agents;
    std::map<std::string, TimePoint> partitionedUntil;
    std::multimap<TimePoint, std::function<void()>> events;
    std::map<std::uint64_t, Run> runs;
    std::map<std::uint64_t, Outcome> outcomes;
    std::map<std::string, int> runsOfKey;
    std::map<std::pair<PeerIdentity, std::uint64_t>, std::vector<std::uint64_t>> sharedRequests;
    std::uint64_t nextRequest { 1 };
    bool faultsDisabled { false };
};

FaultScenario generateScenario()
{
    const auto rate = [](unsigned maximum) {
        return *rc::gen::weightedOneOf<unsigned>({ { 1, rc::gen::just(0U) }, { 2, rc::gen::inRange(0U, maximum) } });
    };
    FaultScenario scenario;
    scenario.hosts = *rc::gen::inRange(2U, 6U);
    scenario.slots = *rc::gen::inRange(1U, 4U);
    scenario.loss = rate(200);
    scenario.duplication = rate(300);
    scenario.longDelay = rate(200);
    scenario.pauses = rate(30);
    scenario.partitions = rate(20);
    scenario.restarts = rate(15);
    scenario.removals = rate(15);
    scenario.configurationChanges = rate(50);
    scenario.runFailures = rate(200);
    scenario.callerDisconnects = rate(50);
    scenario.seed = *rc::gen::arbitrary<std::uint64_t>();
    return scenario;
}

}

// Guarantees P4 to P6 of docs/promises.md: a request that was answered with outcome not-run did not run (P4), an
// idempotency key runs at most once (P5), and a draining host starts no new work (P6). Guards against violations caused
// by loss, duplication, reordering, pauses, partitions, restarts and processes with different configuration versions.
// RC_PARAMS sets another seed or a larger run count, for example "seed=1 max_success=5000".
TEST_CASE("request guarantees hold under random network and process faults")
{
    std::size_t requests = 0;
    std::size_t started = 0;
    std::map<std::string, std::size_t> refused;
    CHECK(rc::check("hostile network", [&] {
        FaultInjectionSimulation simulation(generateScenario());
        simulation.simulate();
        simulation.checkOutcomes();
        requests += simulation.requestCount();
        started += simulation.runCount;
        for (const auto& [reason, count] : simulation.refusals) {
            refused[reason] += count;
        }
        for (const std::string& violation : simulation.violations) {
            RC_FAIL(violation);
        }
    }));
    // A fleet that refuses nearly every request would keep the guarantees trivially.
    CHECK(started * 3 > requests);
    fmt::print("hostile network: {} requests, {} runs\n", requests, started);
    for (const auto& [reason, count] : refused) {
        fmt::print("  refused {}: {}\n", reason, count);
    }
}
