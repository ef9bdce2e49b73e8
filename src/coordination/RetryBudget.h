#pragma once

namespace chicoryferry {

// Token bucket that limits retries of requests that may have run to a fraction of the arriving requests. Starts empty,
// so that the limit holds from the first request on.
class RetryBudget {
public:
    // retriesPerRequest: tokens added by each request. maxTokens: maximum number of tokens, each of which allows a
    // retry.
    RetryBudget(double retriesPerRequest, double maxTokens)
        : tokensPerRequest(retriesPerRequest)
        , capacity(maxTokens)
    {
    }

    void requestArrived();

    // Consumes one token. Returns false if less than one token is left.
    bool takeRetry();

private:
    double tokensPerRequest;
    double capacity;
    double tokens { 0 };
};

}
