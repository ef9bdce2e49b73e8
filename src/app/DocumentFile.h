#pragma once

#include <string>

namespace chicoryferry {

// Reads a whole file. Throws UserError when it cannot be read.
std::string readDocumentFile(const std::string& path);

}
