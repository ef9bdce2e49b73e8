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
    LeastReported, // the least reported load; reports are 1 s old
    TwoChoices, // the less loaded of two random hosts, with present knowledge
    Central, // one queue with full knowledge, in the order of placement, without delays
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

// Baselines in which a request goes to a host at once and waits there in the order of arrival, and the central queue.
// Nothing is refused, but a queued request whose deadline has passed is not run.
class BaselineSimulation {
public:
    BaselineSimulation(const Deployment& chosen, const std::vector<Arrival>& given, Baseline policy, std::uint64_t seed,
        unsigned falseHost)
        : deployment(chosen)
        , arrivals(given)
        , baseline(policy)
        , random(seed)
        , lyingHost(falseHost)
        , hosts(chosen.hosts)
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
            this->report();
            if (arrives) {
                this->arrive(next++);
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

    void report()
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

    unsigned reported(unsigned host) const { return host == this->lyingHost ? 0 : this->reports.front()[host]; }

    unsigned choose(std::size_t request)
    {
        const unsigned count = this->deployment.hosts;
        if (this->baseline == Baseline::Hash) {
            return this->arrivals[request].holder;
        }
        if (this->baseline == Baseline::TwoChoices) {
            const unsigned first = static_cast<unsigned>(this->random() % count);
            const unsigned second = static_cast<unsigned>(this->random() % count);
            const auto loadOf = [&](unsigned host) { return host == this->lyingHost ? 0 : this->hosts[host].load(); };
            return loadOf(second) < loadOf(first) ? second : first;
        }
        unsigned best = static_cast<unsigned>(this->random() % count);
        for (unsigned step = 1, start = best; step < count; ++step) {
            const unsigned host = (start + step) % count;
            best = this->reported(host) < this->reported(best) ? host : best;
        }
        return best;
    }

    void arrive(std::size_t request)
    {
        if (this->baseline == Baseline::Central) {
            const Arrival& arrival = this->arrivals[request];
            const Duration latestStart = arrival.at + arrival.deadline - arrival.run;
            (arrival.isLong ? this->centralLong : this->centralShort).insert({ latestStart, request });
            this->fillCentral();
            return;
        }
        const unsigned host = this->choose(request);
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
        this->fillHost(host);
    }

    void fillHost(unsigned index)
    {
        HostState& host = this->hosts[index];
        while (host.running < this->deployment.slots && !host.queue.empty()) {
            const std::size_t request = host.queue.front();
            host.queue.pop_front();
            const Arrival& arrival = this->arrivals[request];
            if (this->now <= arrival.at + arrival.deadline) {
                this->start(index, request);
            }
        }
    }

    void fillCentral()
    {
        using Queue = std::set<std::pair<Duration, std::size_t>>;
        for (Queue* queue : { &this->centralShort, &this->centralLong }) {
            while (!queue->empty() && queue->begin()->first < this->now) {
                queue->erase(queue->begin());
            }
        }
        while (!this->centralShort.empty() || !this->centralLong.empty()) {
            // The least busy host with a free slot, for balance.
            int bestShort = -1;
            int bestLong = -1;
            for (unsigned index = 0; index < this->deployment.hosts; ++index) {
                const HostState& host = this->hosts[index];
                if (host.running >= this->deployment.slots) {
                    continue;
                }
                const bool lastForShort = host.longRunning + 1 >= this->deployment.slots && !this->centralShort.empty();
                if (bestShort < 0 || host.busy < this->hosts[static_cast<unsigned>(bestShort)].busy) {
                    bestShort = static_cast<int>(index);
                }
                if (!lastForShort && (bestLong < 0 || host.busy < this->hosts[static_cast<unsigned>(bestLong)].busy)) {
                    bestLong = static_cast<int>(index);
                }
            }
            const bool longFirst = !this->centralLong.empty() && bestLong >= 0
                && (this->centralShort.empty() || this->centralLong.begin()->first < this->centralShort.begin()->first);
            if (!longFirst && this->centralShort.empty()) {
                return;
            }
            const int host = longFirst ? bestLong : bestShort;
            if (host < 0) {
                return;
            }
            Queue& queue = longFirst ? this->centralLong : this->centralShort;
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
            this->fillCentral();
        } else {
            this->fillHost(event.host);
        }
    }

    Deployment deployment;
    const std::vector<Arrival>& arrivals;
    Baseline baseline;
    std::mt19937_64 random;
    unsigned lyingHost; // reports no load; a number beyond the hosts: none does
    std::vector<HostState> hosts;
    std::set<std::pair<Duration, std::size_t>> centralShort;
    std::set<std::pair<Duration, std::size_t>> centralLong;
    std::deque<std::vector<unsigned>> reports;
    Duration nextReport { 0 };
    Duration now { 0 };
    std::priority_queue<Event> events;
    Record record;
};

}
