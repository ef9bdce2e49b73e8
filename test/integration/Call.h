#pragma once

#include "HttpAnswer.h"

#include <chrono>
#include <cstdint>
#include <string>

namespace chicoryferry::integration {

// One request of a caller and its result.
struct Call {
    std::string id; // sent as X-Request-Id, unique within a history
    std::string caller; // address
    std::string service;
    std::string method;
    std::string target;
    std::string idempotencyKey;
    std::string body;
    std::chrono::steady_clock::time_point start;
    std::chrono::steady_clock::time_point end;
    HttpAnswer answer;

    std::chrono::milliseconds duration() const
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(this->end - this->start);
    }
};

}
