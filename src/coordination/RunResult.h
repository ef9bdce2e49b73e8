#pragma once

#include <string>

namespace chicoryferry {

// How an attempt to run a request ended, as far as the holder may state it.
enum class RunOutcome {
    Completed, // whole answer received
    NotRun, // the backend server never received the request
    Unknown, // the backend server may have run it
};

// The end of one attempt.
struct RunResult {
    RunOutcome outcome { RunOutcome::Unknown };
    unsigned status { 0 }; // HTTP status when completed
    std::string reason; // counter label when not completed
};

}
