#pragma once

#include "Call.h"

#include <mutex>
#include <string>
#include <vector>

namespace chicoryferry::integration {

// The calls of a test in the order of their ends. Any thread.
class CallHistory {
public:
    void add(Call);

    std::vector<Call> calls() const;

    // Calls with a complete answer of this status.
    std::size_t countStatus(unsigned status) const;

    // Calls without a complete answer.
    std::size_t countIncomplete() const;

    // One line for each status, reason and failure with its count.
    std::string summary() const;

    // A new identifier for a call.
    std::string nextId();

private:
    mutable std::mutex mutex;
    std::vector<Call> recorded;
    std::uint64_t lastId { 0 };
};

}
