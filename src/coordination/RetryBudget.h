#pragma once

namespace chicoryferry {

// Limits the repetition of requests that may have run to a share of the requests that arrive. Starts with the whole
// reserve, so that a request on a quiet service is repeated as well.
class RetryBudget {
public:
    // shareOfRequests: retries for each request. largestReserve: retries that may be saved up.
    RetryBudget(double shareOfRequests, double largestReserve)
        : share(shareOfRequests)
        , reserve(largestReserve)
        , saved(largestReserve)
    {
    }

    void requestArrived();

    // Takes one retry from the budget; false when it is used up.
    bool takeRetry();

private:
    double share;
    double reserve;
    double saved;
};

}
