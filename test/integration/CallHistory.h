#pragma once

#include "Call.h"

#include <mutex>
#include <string>
#include <vector>

namespace chicoryferry::integration {

// The calls of a test, in order of completion. Thread-safe.
class CallHistory {
public:
    void add(Call);

    std::vector<Call> calls() const;

    // Number of calls with a complete answer of this status.
    std::size_t countStatus(unsigned status) const;

    // Number of calls without a complete answer.
    std::size_t countIncomplete() const;

    // Call counts, one line per combination of service, status, outcome, reason and failure.
    std::string summary() const;

    // Returns a new call identifier, unique within this history.
    std::string nextId();

private:
    mutable std::mutex mutex;
    std::vector<Call> recorded;
    std::uint64_t lastId { 0 };
};

}
