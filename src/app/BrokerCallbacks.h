#pragma once

#include "protocol/Endpoint.h"
#include "protocol/HttpHead.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace chicoryferry {

// The functions of the request broker that the HTTP edge calls; see RequestBroker for each of them.
struct BrokerCallbacks {
    using TimePoint = std::chrono::steady_clock::time_point;

    std::function<std::uint64_t(TimePoint, const std::string& service, const Endpoint& caller, HttpRequestHead)> submit;
    std::function<void(TimePoint, std::uint64_t request, std::string data, bool last)> requestBody;
    std::function<void(TimePoint, std::uint64_t request, std::size_t bytes)> answerConsumed;
    std::function<void(TimePoint, std::uint64_t request)> cancel;
};

}
