#pragma once

namespace chicoryferry {

// Limits the repetition of requests that may have run to a share of the requests that arrive. Starts empty, so that the
// share holds from the first request on.
class RetryBudget {
public:
    // shareOfRequests: retries for each request. largestReserve: retries that may be saved up.
    RetryBudget(double shareOfRequests, double largestReserve)
        : share(shareOfRequests)
        , reserve(largestReserve)
    {
    }

    void requestArrived();

    // Takes one retry from the budget; false when it is used up.
    bool takeRetry();

private:
    double share;
    double reserve;
    double saved { 0 };
};

}
