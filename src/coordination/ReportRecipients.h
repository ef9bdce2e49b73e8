#pragma once

#include "protocol/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace chicoryferry {

// Selects the balancers to which an agent reports each change of its load at once: those that offered it a flow most
// recently. The other balancers get its load with the verdicts on their offers and in answer to their hellos. Answers
// the load of a large fleet, where reports of each change to every balancer would grow with balancers times requests.
class ReportRecipients {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Records that the balancer offered a flow.
    void recordOffer(const Endpoint& balancer, TimePoint now);

    // Whether changes of the load are reported to the balancer at once.
    bool contains(const Endpoint& balancer) const;

    // Bounds the reports of one change. A deployment with up to this many balancers reports to all that place flows.
    static constexpr std::size_t maximumRecipients = 8;

private:
    struct Recipient {
        Endpoint balancer;
        TimePoint lastOffer;
    };

    std::vector<Recipient> recipients;
};

}
