#pragma once

#include <string>

namespace chicoryferry {

// Why a request is rejected before placement: the status and reason of the answer to the caller.
struct HttpFault {
    unsigned status { 400 };
    std::string reason; // metric label and value of the header field Chicoryferry-Reason
};

}
