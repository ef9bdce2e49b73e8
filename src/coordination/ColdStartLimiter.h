#pragma once

#include <chrono>
#include <cstddef>
#include <deque>

namespace chicoryferry {

// Limits the first packets that a cold backend server gets in any second. Answers the load of backend servers that have
// just started, for example of a whole availability zone, while many balancers place flows without knowing of each
// other: the agent beside the backend server is the only process that sees all of them.
class ColdStartLimiter {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // countingSince: first packets that were delivered before are not known.
    explicit ColdStartLimiter(TimePoint countingSince);

    // Records what a balancer says: how much longer the backend server is cold, and what it then bears a second
    // (0: no limit). Of several limits within the cold time the lowest holds.
    void update(std::chrono::milliseconds coldRemaining, double startsPerSecond, TimePoint now);

    // Records that a first packet is delivered.
    void record(TimePoint now);

    // Time until another first packet may be delivered after `ahead` others; 0: at once.
    std::chrono::milliseconds wait(TimePoint now, std::size_t ahead) const;

private:
    bool isLimited(TimePoint now) const { return this->limit > 0 && now < this->coldUntil; }

    TimePoint countingSince;
    TimePoint coldUntil;
    double limit { 0 }; // first packets a second
    std::deque<TimePoint> starts; // of the last window
};

}
