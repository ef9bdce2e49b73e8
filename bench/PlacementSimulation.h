#pragma once

#include "PlacementWorkload.h"
#include "coordination/RequestPlacement.h"
#include "protocol/Configuration.h"
#include "protocol/InstanceList.h"
#include "state/ConfigurationView.h"
#include "support/Metrics.h"

#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>

namespace chicoryferry::bench {

// Runs one RequestPlacement per host on a simulated clock. Messages take the network delays of the deployment; calls
// take no simulated time.
class PlacementSimulation {
public:
    // falseLoadHostIndex: the host whose heartbeats always report free slots and an empty queue; an index past the last
    // host means none.
    PlacementSimulation(const Deployment& simulatedDeployment, const Traffic& offeredTraffic,
        const std::vector<Arrival>& generatedArrivals, std::uint64_t seed, unsigned falseLoadHostIndex)
        : deployment(simulatedDeployment)
        , traffic(offeredTraffic)
        , arrivals(generatedArrivals)
        , random(seed)
        , falseLoadHost(falseLoadHostIndex)
    {
        Configuration configuration;
        configuration.version = 1;
        Service service;
        service.name = "job";
        service.id = serviceId("job");
        configuration.services.push_back(service);
        configuration.callerGroups.push_back({ "benches", { { 0, 0 } } });
        configuration.bindings.push_back({ "job", "benches", Selector() });
        for (unsigned index = 0; index < simulatedDeployment.hosts; ++index) {
            Host host;
            host.name = "host-" + std::to_string(index);
            host.incarnation = 1;
            host.slots = simulatedDeployment.slots;
            configuration.hosts.push_back(host);
            this->agents.push_back(
                { std::make_unique<RequestPlacement>(PeerIdentity { host.name, 1 }, this->metrics), {}, 0 });
            this->indexOf[host.name] = index;
        }
        const auto view = std::make_shared<ConfigurationView>(std::make_shared<Configuration>(configuration),
            std::make_shared<InstanceList>(), std::vector<std::shared_ptr<const Configuration>>());
        for (unsigned index = 0; index < simulatedDeployment.hosts; ++index) {
            this->applyActions(index, this->agents[index].placement->viewChanged(this->time(), view, true));
        }
    }

    Record simulate()
    {
        this->record.outcomes.resize(this->arrivals.size());
        for (std::size_t request = 0; request < this->arrivals.size(); ++request) {
            // Arrivals start after one second, so that the hosts have exchanged heartbeats by then.
            this->schedule(
                this->arrivals[request].at + firstArrivalTime, [this, request] { this->handleArrival(request); });
        }
        const Duration end = this->arrivals.back().at + firstArrivalTime + std::chrono::seconds(30);
        while (!this->events.empty() && this->events.top().at <= end) {
            Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
        }
        return std::move(this->record);
    }

    std::size_t messageCount() const { return this->messages; }
    std::string counters() const { return this->metrics.serialize(); }

private:
    static constexpr Duration firstArrivalTime { 1000000 };

    struct Event {
        Duration at;
        std::uint64_t order;
        std::function<void()> action;

        bool operator<(const Event& other) const
        {
            return this->at != other.at ? this->at > other.at : this->order > other.order;
        }
    };

    struct AgentState {
        std::unique_ptr<RequestPlacement> placement;
        Duration wakeAt;
        std::uint64_t wakeNumber { 0 };
    };

    struct Run {
        unsigned host { 0 };
        std::size_t interval { 0 };
        bool cancelled { false };
    };

    // Simulated time since the first possible arrival, which is the time base of the record.
    Duration timeSinceFirstArrival() const { return this->now - firstArrivalTime; }
    RequestPlacement::TimePoint time() const { return RequestPlacement::TimePoint(std::chrono::hours(1)) + this->now; }

    void schedule(Duration at, std::function<void()> action)
    {
        this->events.push({ at, this->nextOrder++, std::move(action) });
    }

    void handleArrival(std::size_t request)
    {
        const Arrival& arrival = this->arrivals[request];
        RequestDescription description;
        description.request = request + 1;
        description.service = "job";
        description.callerGroup = "benches";
        description.caller = { 0x0A090000 + arrival.caller, 4000 };
        description.method = "GET";
        description.route.path = arrival.isLong ? "/drawing/" : "/layout/";
        const std::size_t target = this->traffic.sharedTargets == 0 ? request : arrival.target;
        description.target = description.route.path + std::to_string(target);
        description.route.shareable = this->traffic.sharedTargets != 0;
        description.route.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(arrival.deadline);
        const Duration abandonedAfter = arrival.abandonedAfter.count() > 0 ? arrival.abandonedAfter : arrival.deadline;
        this->schedule(this->now + abandonedAfter, [this, request] { this->handleAbandonment(request); });
        this->call(arrival.holder,
            [&](RequestPlacement& placement) { return placement.requestArrived(this->time(), description); });
    }

    void handleAbandonment(std::size_t request)
    {
        const Outcome& outcome = this->record.outcomes[request];
        if (outcome.answered.count() < 0 && outcome.refused.count() < 0) {
            this->call(this->arrivals[request].holder,
                [&](RequestPlacement& placement) { return placement.callerDisconnected(this->time(), request + 1); });
        }
    }

    template <typename Call> void call(unsigned host, const Call& function)
    {
        this->applyActions(host, function(*this->agents[host].placement));
    }

    void applyActions(unsigned host, const PlacementActions& actions)
    {
        for (const PlacementAction& action : actions) {
            std::visit([&](const auto& which) { this->applyAction(host, which); }, action);
        }
        AgentState& agent = this->agents[host];
        const Duration limit = this->now + std::chrono::milliseconds(100);
        const auto next = agent.placement->nextTimeout() - this->time();
        const Duration wake
            = std::min(limit, this->now + std::max(Duration(100), std::chrono::duration_cast<Duration>(next)));
        if (agent.wakeAt <= this->now || wake < agent.wakeAt) {
            agent.wakeAt = wake;
            const std::uint64_t number = ++agent.wakeNumber;
            this->schedule(wake, [this, host, number] {
                if (this->agents[host].wakeNumber == number) {
                    this->call(host, [&](RequestPlacement& placement) { return placement.tick(this->time()); });
                }
            });
        }
    }

    void send(unsigned from, const std::string& to, wire::PeerMessage message)
    {
        ++this->messages;
        if (from == this->falseLoadHost && message.has_heartbeat()) {
            message.mutable_heartbeat()->set_free_slots(this->deployment.slots);
            message.mutable_heartbeat()->set_queued(0);
        }
        const unsigned target = this->indexOf.at(to);
        auto shared = std::make_shared<wire::PeerMessage>(std::move(message));
        this->schedule(this->now + this->deployment.delay(from, target), [this, from, target, shared] {
            const PeerIdentity sender { "host-" + std::to_string(from), 1 };
            this->call(target,
                [&](RequestPlacement& placement) { return placement.messageReceived(this->time(), sender, *shared); });
        });
    }

    void applyAction(unsigned host, const SendToPeer& action)
    {
        this->send(host, action.peer.instance, action.message);
    }

    void applyAction(unsigned host, const GrantToPeer& action)
    {
        wire::PeerMessage message;
        message.mutable_grant()->set_request(action.request);
        message.mutable_grant()->set_claim(action.claim);
        message.mutable_grant()->set_service("job");
        this->send(host, action.claimer.instance, std::move(message));
    }

    void applyAction(unsigned host, const RunOwnRequest& action)
    {
        this->startRun(host, host, action.request, action.claim);
    }

    void applyAction(unsigned host, const RunPeerRequest& action)
    {
        this->startRun(host, this->indexOf.at(action.holder.instance), action.request, action.claim);
    }

    void applyAction(unsigned host, const CancelRun& action)
    {
        const auto run = this->runs.find({ host, action.claim });
        if (run != this->runs.end()) {
            this->record.busy[run->second.interval].to = this->timeSinceFirstArrival();
            this->runs.erase(run);
        }
    }

    void applyAction(unsigned /*host*/, const RefuseRequest& action)
    {
        this->record.outcomes[action.request - 1].refused = this->timeSinceFirstArrival();
    }

    void applyAction(unsigned /*host*/, const ShareAnswer& action)
    {
        this->sharers[action.leader].push_back(action.request);
    }

    void startRun(unsigned host, unsigned holder, std::uint64_t request, std::uint64_t claim)
    {
        Outcome& outcome = this->record.outcomes[request - 1];
        outcome.started = outcome.started.count() < 0 ? this->timeSinceFirstArrival() : outcome.started;
        ++outcome.runs;
        const Duration run = this->arrivals[request - 1].run;
        this->record.busy.push_back(
            { host, this->timeSinceFirstArrival(), this->timeSinceFirstArrival() + run, request - 1 });
        this->runs[{ host, claim }] = { host, this->record.busy.size() - 1, false };
        const bool fails = static_cast<double>(this->random() % 10000) < this->traffic.failureShare * 10000;
        this->schedule(this->now + run,
            [this, host, holder, request, claim, fails] { this->endRun(host, holder, request, claim, fails); });
    }

    void endRun(unsigned host, unsigned holder, std::uint64_t request, std::uint64_t claim, bool fails)
    {
        if (this->runs.erase({ host, claim }) == 0) {
            return;
        }
        const RunResult result = fails ? RunResult { RunOutcome::Unknown, 0, "backend_closed" }
                                       : RunResult { RunOutcome::Completed, 200, "" };
        if (host != holder) {
            const PeerIdentity holderIdentity { "host-" + std::to_string(holder), 1 };
            this->call(host, [&](RequestPlacement& placement) {
                return placement.peerRunEnded(this->time(), holderIdentity, request, claim, result);
            });
        }
        this->schedule(this->now + this->deployment.delay(host, holder), [this, holder, request, claim, result] {
            if (result.outcome == RunOutcome::Completed) {
                this->answer(request);
                for (const std::uint64_t sharer : this->sharers[request]) {
                    this->answer(sharer);
                }
            }
            this->call(holder,
                [&](RequestPlacement& placement) { return placement.runEnded(this->time(), request, claim, result); });
        });
    }

    void answer(std::uint64_t request)
    {
        Outcome& outcome = this->record.outcomes[request - 1];
        if (outcome.answered.count() < 0 && outcome.refused.count() < 0) {
            outcome.answered = this->timeSinceFirstArrival();
        }
    }

    Deployment deployment;
    Traffic traffic;
    const std::vector<Arrival>& arrivals;
    std::mt19937_64 random;
    unsigned falseLoadHost;
    Metrics metrics;
    std::vector<AgentState> agents;
    std::map<std::string, unsigned> indexOf;
    std::map<std::pair<unsigned, std::uint64_t>, Run> runs; // by host and claim
    std::map<std::uint64_t, std::vector<std::uint64_t>> sharers; // by leader
    Duration now { 0 };
    std::uint64_t nextOrder { 0 };
    std::size_t messages { 0 };
    std::priority_queue<Event> events;
    Record record;
};

}
