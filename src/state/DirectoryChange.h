#pragma once

#include "protocol/HostEntry.h"
#include "protocol/RouteTable.h"

#include <string>
#include <variant>

namespace chicoryferry {

// The operator's configuration was written.
struct RouteTableWritten {
    RouteTable table;
};

// A backend server published itself.
struct HostWritten {
    HostEntry entry;
};

// A backend server's entry is gone, or holds nothing that names a host to use.
struct HostRemoved {
    std::string id;
    bool malformed { false };
};

using DirectoryChange = std::variant<RouteTableWritten, HostWritten, HostRemoved>;

}
