#pragma once

#include <string>

namespace chicoryferry {

// The outcome of an attempt to run a request, as far as the holder can safely report it.
enum class RunOutcome {
    Completed, // the whole answer was received
    NotRun, // the backend server never received the request
    Unknown, // the backend server may have run it
};

// The result of one attempt.
struct RunResult {
    RunOutcome outcome { RunOutcome::Unknown };
    unsigned status { 0 }; // HTTP status if completed
    std::string reason; // metric label if not completed
};

}
