#pragma once

#include "coordination/RequestPlacement.h"
#include "protocol/Configuration.h"
#include "protocol/InstanceList.h"
#include "state/ConfigurationView.h"
#include "support/Metrics.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace chicoryferry {

// The RequestPlacement objects of several agents with a simulated clock, connected by one FIFO queue of messages.
class PlacementFixture {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Run {
        std::string host;
        PeerIdentity holder;
        std::uint64_t request { 0 };
        std::uint64_t claim { 0 };
        bool ended { false };
    };

    struct Message {
        PeerIdentity from;
        PeerIdentity to;
        wire::PeerMessage content;
    };

    PlacementFixture(unsigned hosts, unsigned slots)
        : slotCount(slots)
    {
        for (unsigned index = 0; index < hosts; ++index) {
            this->configuration.hosts.push_back(this->makeHost("host-" + std::to_string(index)));
        }
        this->configuration.version = 1;
        Service service;
        service.name = "job";
        service.id = serviceId("job");
        service.endpoint = { 0x0A010001, 80 };
        this->configuration.services.push_back(service);
        this->configuration.callerGroups.push_back({ "benches", { { 0, 0 } } });
        this->configuration.bindings.push_back({ "job", "benches", Selector() });
        for (const Host& host : this->configuration.hosts) {
            this->start(host.name, 1);
        }
    }

    Host makeHost(const std::string& name) const
    {
        Host host;
        host.name = name;
        host.incarnation = 1;
        host.slots = this->slotCount;
        return host;
    }

    // Starts an agent for the host, or replaces it by a new incarnation.
    void start(const std::string& host, std::uint64_t incarnation)
    {
        this->agents[host]
            = { incarnation, std::make_unique<RequestPlacement>(PeerIdentity { host, incarnation }, this->metrics) };
        this->publishTo(host);
    }

    // Applies the current configuration on one host.
    void publishTo(const std::string& host)
    {
        const auto view = std::make_shared<ConfigurationView>(
            std::make_shared<Configuration>(this->configuration), std::make_shared<InstanceList>(), this->history);
        this->applyActions(host, this->placement(host).viewChanged(this->now, view, this->historyComplete));
    }

    RequestDescription describe(std::uint64_t request) const
    {
        RequestDescription description;
        description.request = request;
        description.service = "job";
        description.callerGroup = "benches";
        description.caller = { 0x0A090001, 4000 };
        description.method = "GET";
        description.target = "/layout/" + std::to_string(request);
        description.route.deadline = std::chrono::seconds(5);
        return description;
    }

    // A request with an idempotency key on a route that is not repeatable.
    RequestDescription describeKeyed(std::uint64_t request, const std::string& key) const
    {
        RequestDescription description = this->describe(request);
        description.method = "POST";
        description.target = "/correction";
        description.route.repeatable = false;
        description.idempotencyKey = key;
        description.fingerprint = 7;
        return description;
    }

    void arrive(const std::string& host, std::uint64_t request) { this->arrive(host, this->describe(request)); }

    void arrive(const std::string& host, const RequestDescription& description)
    {
        this->applyActions(host, this->placement(host).requestArrived(this->now, description));
    }

    void startDraining(const std::string& host)
    {
        this->applyActions(host, this->placement(host).startDraining(this->now));
    }

    void callerDisconnected(const std::string& host, std::uint64_t request)
    {
        this->applyActions(host, this->placement(host).callerDisconnected(this->now, request));
    }

    // Ends the newest unfinished run of the request and reports it as the brokers of the host and the holder would.
    void endRun(std::uint64_t request, RunOutcome outcome, unsigned status = 200)
    {
        for (auto run = this->startedRuns.rbegin(); run != this->startedRuns.rend(); ++run) {
            if (run->request != request || run->ended) {
                continue;
            }
            run->ended = true;
            const Run ended = *run;
            const RunResult result { outcome, status, outcome == RunOutcome::Completed ? "" : "backend_refused" };
            if (ended.host != ended.holder.instance) {
                this->applyActions(ended.host,
                    this->placement(ended.host).peerRunEnded(this->now, ended.holder, request, ended.claim, result));
            }
            if (ended.host == ended.holder.instance || outcome != RunOutcome::NotRun) {
                this->applyActions(ended.holder.instance,
                    this->placement(ended.holder.instance).runEnded(this->now, request, ended.claim, result));
            }
            return;
        }
    }

    // Delivers messages until the queue is empty, including those sent in response.
    void deliverAll()
    {
        while (!this->messages.empty()) {
            this->deliverOne();
        }
    }

    // Delivers messages until the next one is of this kind or the queue is empty.
    void deliverUntil(wire::PeerMessage::BodyCase kind)
    {
        while (!this->messages.empty() && this->messages.front().content.body_case() != kind) {
            this->deliverOne();
        }
    }

    void deliverOne()
    {
        const Message message = this->messages.front();
        this->messages.pop_front();
        const auto agent = this->agents.find(message.to.instance);
        if (agent != this->agents.end() && agent->second.incarnation > 0
            && !this->droppedHosts.contains(message.to.instance)
            && !this->droppedHosts.contains(message.from.instance)) {
            this->applyActions(message.to.instance,
                agent->second.placement->messageReceived(this->now, message.from, message.content));
        }
    }

    // Advances the clock without calling tick().
    void advance(std::chrono::milliseconds time) { this->now += time; }

    // Advances the clock in steps of 10 ms, with a tick() of every agent and message delivery in each step.
    void advanceWithTicks(std::chrono::milliseconds time)
    {
        const TimePoint end = this->now + time;
        while (this->now < end) {
            this->now += std::chrono::milliseconds(10);
            for (auto& [host, agent] : this->agents) {
                this->applyActions(host, agent.placement->tick(this->now));
            }
            this->deliverAll();
        }
    }

    const std::vector<Run>& runs() const { return this->startedRuns; }
    const std::vector<RefuseRequest>& refusals() const { return this->refused; }
    const std::vector<CancelRun>& cancels() const { return this->cancelled; }
    const std::vector<ShareAnswer>& shares() const { return this->shared; }

    std::size_t runsOn(const std::string& host) const
    {
        std::size_t count = 0;
        for (const Run& run : this->startedRuns) {
            count += run.host == host ? 1 : 0;
        }
        return count;
    }

    int countSent(wire::PeerMessage::BodyCase kind) { return this->sent[kind]; }

    RequestPlacement& placement(const std::string& host) { return *this->agents.at(host).placement; }

    void applyActions(const std::string& host, const PlacementActions& actions)
    {
        const PeerIdentity self { host, this->agents.at(host).incarnation };
        for (const PlacementAction& action : actions) {
            if (const auto* send = std::get_if<SendToPeer>(&action)) {
                ++this->sent[send->message.body_case()];
                this->messages.push_back({ self, send->peer, send->message });
            } else if (const auto* own = std::get_if<RunOwnRequest>(&action)) {
                this->startedRuns.push_back({ host, self, own->request, own->claim });
            } else if (const auto* grant = std::get_if<GrantToPeer>(&action)) {
                Message message { self, grant->claimer, {} };
                message.content.mutable_grant()->set_request(grant->request);
                message.content.mutable_grant()->set_claim(grant->claim);
                message.content.mutable_grant()->set_service("job");
                this->messages.push_back(message);
            } else if (const auto* run = std::get_if<RunPeerRequest>(&action)) {
                this->startedRuns.push_back({ host, run->holder, run->request, run->claim });
            } else if (const auto* refusal = std::get_if<RefuseRequest>(&action)) {
                this->refused.push_back(*refusal);
            } else if (const auto* cancel = std::get_if<CancelRun>(&action)) {
                this->cancelled.push_back(*cancel);
            } else if (const auto* share = std::get_if<ShareAnswer>(&action)) {
                this->shared.push_back(*share);
            }
        }
    }

    Configuration configuration;
    std::vector<std::shared_ptr<const Configuration>> history;
    bool historyComplete { true };
    TimePoint now { std::chrono::hours(1) };
    std::map<std::string, bool> droppedHosts; // messages to and from these hosts are dropped
    std::deque<Message> messages;
    Metrics metrics;

private:
    struct AgentState {
        std::uint64_t incarnation { 0 };
        std::unique_ptr<RequestPlacement> placement;
    };

    unsigned slotCount;
    std::map<std::string, AgentState> agents;
    std::vector<Run> startedRuns;
    std::vector<RefuseRequest> refused;
    std::vector<CancelRun> cancelled;
    std::vector<ShareAnswer> shared;
    std::map<wire::PeerMessage::BodyCase, int> sent;
};

}
