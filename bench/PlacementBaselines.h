#pragma once

#include "PlacementWorkload.h"

#include <algorithm>
#include <deque>
#include <map>
#include <queue>
#include <set>

namespace chicoryferry::bench {

enum class Baseline {
    Hash, // the host that owns the caller's connection
    LeastReported, // the host with the least reported load; reports are 1 s old
    TwoChoices, // the less loaded of two random hosts, by their current load
    Central, // one queue with complete, current state, in the order of placement, without network delays
};

inline const char* nameOf(Baseline baseline)
{
    switch (baseline) {
    case Baseline::Hash:
        return "hash placement";
    case Baseline::LeastReported:
        return "least reported load";
    case Baseline::TwoChoices:
        return "two random choices";
    case Baseline::Central:
        break;
    }
    return "central queue";
}

// Simulates the central queue, and the baselines that assign a request to a host on arrival and queue it there in
// arrival order. No request is refused. The central queue never runs a request that cannot finish by its deadline; the
// other baselines skip queued requests whose deadline has passed only if dropsExpired is set.
class BaselineSimulation {
public:
    BaselineSimulation(const Deployment& simulatedDeployment, const std::vector<Arrival>& generatedArrivals,
        Baseline policy, std::uint64_t seed, unsigned falseLoadHostIndex, bool dropExpired)
        : deployment(simulatedDeployment)
        , arrivals(generatedArrivals)
        , baseline(policy)
        , dropsExpired(dropExpired)
        , random(seed)
        , falseLoadHost(falseLoadHostIndex)
        , hosts(simulatedDeployment.hosts)
    {
    }

    Record simulate()
    {
        this->record.outcomes.resize(this->arrivals.size());
        std::size_t next = 0;
        while (next < this->arrivals.size() || !this->events.empty()) {
            const bool arrives = next < this->arrivals.size()
                && (this->events.empty() || this->arrivals[next].at <= this->events.top().at);
            this->now = arrives ? this->arrivals[next].at : this->events.top().at;
            this->recordLoadReports();
            if (arrives) {
                this->handleArrival(next++);
                continue;
            }
            const Event event = this->events.top();
            this->events.pop();
            if (event.ends) {
                this->endRun(event);
            } else {
                this->enqueue(event.host, event.request);
            }
        }
        return std::move(this->record);
    }

private:
    struct Event {
        Duration at;
        unsigned host;
        std::size_t request;
        bool ends;

        bool operator<(const Event& other) const { return this->at > other.at; }
    };

    struct HostState {
        unsigned running { 0 };
        unsigned longRunning { 0 };
        std::deque<std::size_t> queue;
        Duration busy { 0 };

        unsigned load() const { return this->running + static_cast<unsigned>(this->queue.size()); }
    };

    void recordLoadReports()
    {
        constexpr Duration interval { 100000 };
        while (this->nextReport <= this->now) {
            std::vector<unsigned> loads;
            for (const HostState& host : this->hosts) {
                loads.push_back(host.load());
            }
            this->reports.push_back(loads);
            if (this->reports.size() > 11) {
                this->reports.pop_front();
            }
            this->nextReport += interval;
        }
    }

    unsigned reportedLoad(unsigned host) const { return host == this->falseLoadHost ? 0 : this->reports.front()[host]; }

    unsigned chooseHost(std::size_t request)
    {
        const unsigned count = this->deployment.hosts;
        if (this->baseline == Baseline::Hash) {
            return this->arrivals[request].holder;
        }
        if (this->baseline == Baseline::TwoChoices) {
            const unsigned first = static_cast<unsigned>(this->random() % count);
            const unsigned second = static_cast<unsigned>(this->random() % count);
            const auto loadOf
                = [&](unsigned host) { return host == this->falseLoadHost ? 0 : this->hosts[host].load(); };
            return loadOf(second) < loadOf(first) ? second : first;
        }
        unsigned best = static_cast<unsigned>(this->random() % count);
        for (unsigned step = 1, start = best; step < count; ++step) {
            const unsigned host = (start + step) % count;
            best = this->reportedLoad(host) < this->reportedLoad(best) ? host : best;
        }
        return best;
    }

    void handleArrival(std::size_t request)
    {
        if (this->baseline == Baseline::Central) {
            const Arrival& arrival = this->arrivals[request];
            const Duration latestStart = arrival.at + arrival.deadline - arrival.run;
            (arrival.isLong ? this->centralLongQueue : this->centralShortQueue).insert({ latestStart, request });
            this->dispatchCentralQueues();
            return;
        }
        const unsigned host = this->chooseHost(request);
        const Duration delay = this->deployment.delay(this->arrivals[request].holder, host);
        if (delay.count() == 0) {
            this->enqueue(host, request);
        } else {
            this->events.push({ this->now + delay, host, request, false });
        }
    }

    void enqueue(unsigned host, std::size_t request)
    {
        this->hosts[host].queue.push_back(request);
        this->startQueuedRequests(host);
    }

    void startQueuedRequests(unsigned index)
    {
        HostState& host = this->hosts[index];
        while (host.running < this->deployment.slots && !host.queue.empty()) {
            const std::size_t request = host.queue.front();
            host.queue.pop_front();
            const Arrival& arrival = this->arrivals[request];
            if (!this->dropsExpired || this->now <= arrival.at + arrival.deadline) {
                this->start(index, request);
            }
        }
    }

    void dispatchCentralQueues()
    {
        using Queue = std::set<std::pair<Duration, std::size_t>>;
        for (Queue* queue : { &this->centralShortQueue, &this->centralLongQueue }) {
            while (!queue->empty() && queue->begin()->first < this->now) {
                queue->erase(queue->begin());
            }
        }
        while (!this->centralShortQueue.empty() || !this->centralLongQueue.empty()) {
            // Picks the least busy host with a free slot, to balance the load.
            int bestShort = -1;
            int bestLong = -1;
            for (unsigned index = 0; index < this->deployment.hosts; ++index) {
                const HostState& host = this->hosts[index];
                if (host.running >= this->deployment.slots) {
                    continue;
                }
                const bool reservedForShort
                    = host.longRunning + 1 >= this->deployment.slots && !this->centralShortQueue.empty();
                if (bestShort < 0 || host.busy < this->hosts[static_cast<unsigned>(bestShort)].busy) {
                    bestShort = static_cast<int>(index);
                }
                if (!reservedForShort
                    && (bestLong < 0 || host.busy < this->hosts[static_cast<unsigned>(bestLong)].busy)) {
                    bestLong = static_cast<int>(index);
                }
            }
            const bool longFirst = !this->centralLongQueue.empty() && bestLong >= 0
                && (this->centralShortQueue.empty()
                    || this->centralLongQueue.begin()->first < this->centralShortQueue.begin()->first);
            if (!longFirst && this->centralShortQueue.empty()) {
                return;
            }
            const int host = longFirst ? bestLong : bestShort;
            if (host < 0) {
                return;
            }
            Queue& queue = longFirst ? this->centralLongQueue : this->centralShortQueue;
            const std::size_t request = queue.begin()->second;
            queue.erase(queue.begin());
            this->start(static_cast<unsigned>(host), request);
        }
    }

    void start(unsigned index, std::size_t request)
    {
        const Arrival& arrival = this->arrivals[request];
        HostState& host = this->hosts[index];
        ++host.running;
        host.longRunning += arrival.isLong ? 1 : 0;
        host.busy += arrival.run;
        this->record.outcomes[request].started = this->now;
        ++this->record.outcomes[request].runs;
        this->record.busy.push_back({ index, this->now, this->now + arrival.run, request });
        this->events.push({ this->now + arrival.run, index, request, true });
    }

    void endRun(const Event& event)
    {
        const Arrival& arrival = this->arrivals[event.request];
        HostState& host = this->hosts[event.host];
        --host.running;
        host.longRunning -= arrival.isLong ? 1 : 0;
        const bool central = this->baseline == Baseline::Central;
        this->record.outcomes[event.request].answered
            = this->now + (central ? Duration(0) : this->deployment.delay(event.host, arrival.holder));
        if (central) {
            this->dispatchCentralQueues();
        } else {
            this->startQueuedRequests(event.host);
        }
    }

    Deployment deployment;
    const std::vector<Arrival>& arrivals;
    Baseline baseline;
    bool dropsExpired;
    std::mt19937_64 random;
    unsigned falseLoadHost; // index of the host that reports no load; an index past the last host means none
    std::vector<HostState> hosts;
    std::set<std::pair<Duration, std::size_t>> centralShortQueue;
    std::set<std::pair<Duration, std::size_t>> centralLongQueue;
    std::deque<std::vector<unsigned>> reports;
    Duration nextReport { 0 };
    Duration now { 0 };
    std::priority_queue<Event> events;
    Record record;
};

}
