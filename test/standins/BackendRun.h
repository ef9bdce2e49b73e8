#pragma once

#include <chrono>
#include <cstdint>
#include <string>

namespace chicoryferry::standins {

// The record of one request that reached a backend server.
struct BackendRun {
    std::uint64_t number { 0 };
    std::string service; // that the server provided when the request arrived
    std::string requestId; // header X-Request-Id
    std::string method;
    std::string target;
    std::string idempotencyKey;
    std::uint64_t bodyHash { 0 };
    std::uint64_t bodyBytes { 0 };
    std::uint64_t deadlineMs { 0 }; // 0: none
    bool started { false };
    std::chrono::steady_clock::time_point arrival;
    std::chrono::steady_clock::time_point start;
    std::chrono::steady_clock::time_point end;
    // waiting, running, completed, cancelled, deadline, shed, answered (complete answer written), answer-cut
    std::string outcome { "waiting" };
};

}
