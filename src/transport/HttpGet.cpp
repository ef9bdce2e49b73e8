#include "transport/HttpGet.h"

#include "support/UserError.h"
#include "transport/EventLoop.h"
#include "transport/HttpExchange.h"

#include <fmt/format.h>
#include <optional>

namespace chicoryferry {

HttpGetAnswer httpGet(
    const Endpoint& endpoint, const std::string& target, std::size_t maximumBytes, std::chrono::milliseconds timeout)
{
    EventLoop loop;
    std::optional<HttpExchange::Result> result;
    const HttpExchange exchange(loop, endpoint, target, maximumBytes,
        [&result](HttpExchange::Result received) { result = std::move(received); });
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!result) {
        const auto remaining
            = std::chrono::ceil<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        if (remaining.count() <= 0) {
            throw UserError(
                exchange.step(), formatEndpoint(endpoint), fmt::format("no answer within {} ms", timeout.count()));
        }
        loop.runOnce(remaining);
    }
    if (result->status == 0) {
        throw UserError(result->step, formatEndpoint(endpoint), result->reason);
    }
    return { result->status, std::move(result->body) };
}

}
