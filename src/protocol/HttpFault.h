#pragma once

#include <string>

namespace chicoryferry {

// Why a request is refused before placement.
struct HttpFault {
    unsigned status { 400 };
    std::string reason; // counter label and value of Chicoryferry-Reason
};

}
