#include "state/RefusedEntries.h"

namespace chicoryferry {

bool RefusedEntries::record(std::string_view entry)
{
    return this->entries.size() < maximumEntries && this->entries.emplace(entry).second;
}

void RefusedEntries::erase(std::string_view entry)
{
    const auto found = this->entries.find(entry);
    if (found != this->entries.end()) {
        this->entries.erase(found);
    }
}

}
