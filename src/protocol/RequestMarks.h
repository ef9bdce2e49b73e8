#pragma once

#include <string>

namespace chicoryferry {

// What the first bytes of a request or an answer tell.
struct RequestMarks {
    std::string requestId; // empty: not contained
    int status { 0 }; // of an answer; 0: not contained
};

}
