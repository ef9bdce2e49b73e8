#pragma once

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace chicoryferry::bench {

using Duration = std::chrono::microseconds;

// Hosts and the network between them.
struct Deployment {
    std::string name;
    unsigned hosts { 7 };
    unsigned slots { 2 };
    unsigned zones { 3 };
    Duration betweenZones { 500 }; // one way
    Duration withinZone { 100 }; // one way

    unsigned totalSlots() const { return this->hosts * this->slots; }

    Duration delay(unsigned from, unsigned to) const
    {
        if (from == to) {
            return Duration(0);
        }
        return from % this->zones == to % this->zones ? this->withinZone : this->betweenZones;
    }
};

// The requests that callers send. Run times are uniformly distributed within 50 % of their mean.
struct Traffic {
    Duration shortRun { 20000 };
    Duration shortDeadline { 1000000 };
    Duration longDeadline { 20000000 };
    unsigned longOneIn { 0 }; // 0: no long requests
    int longFactor { 100 };
    std::function<double(double)> load; // as a fraction of the capacity, by seconds since the start
    double seconds { 60 };
    double warmupSeconds { 10 };
    unsigned callers { 200 };
    double floodShare { 0 }; // fraction of all arrivals that come from caller 0
    unsigned sharedTargets { 0 }; // 0: every request has a target of its own
    double failureShare { 0 }; // fraction of the runs that end without an answer
    double abandoningShare { 0 }; // fraction of the requests abandoned at a random time before the deadline
};

struct Arrival {
    Duration at { 0 };
    unsigned caller { 0 };
    unsigned holder { 0 }; // host that owns the caller's connection
    bool isLong { false };
    Duration run { 0 };
    Duration deadline { 0 }; // after the arrival
    unsigned target { 0 };
    Duration abandonedAfter { 0 }; // after the arrival; 0: the caller waits until the deadline
};

// The result of one request. A negative time means that the event did not occur.
struct Outcome {
    Duration started { -1 }; // start of the first run
    Duration answered { -1 };
    Duration refused { -1 };
    unsigned runs { 0 };
};

struct BusyInterval {
    unsigned host { 0 };
    Duration from { 0 };
    Duration to { 0 };
    std::size_t request { 0 };
};

struct Record {
    std::vector<Outcome> outcomes; // by index of the arrival
    std::vector<BusyInterval> busy;
};

inline double meanRunSeconds(const Traffic& traffic)
{
    const double shortSeconds = std::chrono::duration<double>(traffic.shortRun).count();
    const double longShare = traffic.longOneIn == 0 ? 0 : 1.0 / traffic.longOneIn;
    return shortSeconds * ((1 - longShare) + longShare * traffic.longFactor);
}

// Depends only on its arguments, so every compared system gets the same arrivals.
inline std::vector<Arrival> generateArrivals(const Deployment& deployment, const Traffic& traffic, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::uniform_real_distribution<double> unit(0, 1);
    std::vector<unsigned> holderOf(traffic.callers);
    for (unsigned& holder : holderOf) {
        holder = static_cast<unsigned>(random() % deployment.hosts);
    }
    const double capacity = deployment.totalSlots() / meanRunSeconds(traffic);
    double highest = 0;
    for (double at = 0; at < traffic.seconds; at += 0.1) {
        highest = std::max(highest, traffic.load(at));
    }
    std::vector<Arrival> arrivals;
    // Thinning yields a Poisson process with a time-dependent rate.
    for (double at = 0; at < traffic.seconds;) {
        at -= std::log(1 - unit(random)) / (highest * capacity);
        const bool kept = unit(random) * highest <= traffic.load(at);
        Arrival arrival;
        arrival.at = Duration(static_cast<std::int64_t>(at * 1e6));
        arrival.caller = static_cast<unsigned>(random() % traffic.callers);
        arrival.caller = unit(random) < traffic.floodShare ? 0 : arrival.caller;
        arrival.holder = holderOf[arrival.caller];
        arrival.isLong = traffic.longOneIn != 0 && random() % traffic.longOneIn == 0;
        const double run = static_cast<double>(traffic.shortRun.count()) * (0.5 + unit(random));
        arrival.run = Duration(static_cast<std::int64_t>(arrival.isLong ? run * traffic.longFactor : run));
        arrival.deadline = arrival.isLong ? traffic.longDeadline : traffic.shortDeadline;
        arrival.target = traffic.sharedTargets == 0 ? 0 : static_cast<unsigned>(random() % traffic.sharedTargets);
        const double abandonedFraction = unit(random);
        if (unit(random) < traffic.abandoningShare) {
            arrival.abandonedAfter = Duration(
                static_cast<std::int64_t>(abandonedFraction * static_cast<double>(arrival.deadline.count())));
        }
        if (kept && at < traffic.seconds) {
            arrivals.push_back(arrival);
        }
    }
    return arrivals;
}

}
