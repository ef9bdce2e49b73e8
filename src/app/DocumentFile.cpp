#include "app/DocumentFile.h"

#include "support/UserError.h"

#include <fstream>
#include <iterator>

namespace chicoryferry {

std::string readDocumentFile(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    std::string text { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    if (!file.is_open() || file.bad()) {
        throw UserError("read document", path, "the file cannot be read");
    }
    return text;
}

}
