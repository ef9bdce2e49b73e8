#pragma once

#include "protocol/Endpoint.h"
#include "state/StoreVersion.h"

#include <chrono>
#include <map>

namespace chicoryferry {

// Whether the availability zone of an agent is evacuated, according to the hellos of balancers.
class EvacuationStatus {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // What a hello says of the zone.
    struct Statement {
        StoreVersion version; // of the store, as known to the balancer
        bool isSettled { false }; // no request of an earlier era of the store is in force in place of the store's own
        bool isEvacuated { false };
    };

    // Returns whether the status has changed.
    bool recordHello(const Endpoint& balancer, const Statement&, TimePoint now);

    bool isEvacuated() const { return this->evacuated; }

private:
    struct Received {
        Statement statement;
        TimePoint at;
    };

    std::map<Endpoint, Received> received;
    Statement newest; // its version and whether it is settled
    bool evacuated { false };
};

}
