#pragma once

#include <string>

namespace chicoryferry {

// Returns the content of a file. Throws UserError when it cannot be read.
std::string readDocumentFile(const std::string& path);

}
