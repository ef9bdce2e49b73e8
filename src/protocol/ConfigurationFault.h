#pragma once

#include <string>

namespace chicoryferry {

// One fault of a document: the JSON pointer of the value and what is accepted there.
struct ConfigurationFault {
    std::string path;
    std::string message;
};

}
