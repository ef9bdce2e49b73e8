#pragma once

#include <string>

namespace chicoryferry {

// The properties of a request or an answer that can be read from its first bytes.
struct PayloadMetadata {
    std::string requestId; // empty: not found
    int status { 0 }; // status code of an answer; 0: not found
};

}
