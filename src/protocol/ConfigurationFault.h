#pragma once

#include <string>

namespace chicoryferry {

// A fault in a document: the JSON pointer to the value and what is expected there.
struct ConfigurationFault {
    std::string path;
    std::string message;
};

}
