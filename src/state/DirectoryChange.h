#pragma once

#include "protocol/HostEntry.h"
#include "protocol/RouteTable.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace chicoryferry {

// A route table from the operator's configuration was written to the store.
struct RouteTableWritten {
    RouteTable table;
};

// What an earlier era of the store said of a backend server, which a peer holds for a while in place of the entry.
struct HostRetention {
    std::chrono::milliseconds remaining { 0 };
    bool draining { false }; // otherwise the backend server was gone
};

// A backend server's entry was written to the store.
struct HostWritten {
    HostEntry entry;
    std::uint64_t revision { 0 }; // of the store
    std::optional<HostRetention> retention = std::nullopt; // of a peer
};

// An entry other than a backend server's could not be read. What was known before stays in force.
struct EntryRefused {
    std::string entry; // name for logs
    std::string reason;
};

// A backend server's entry was removed, or its value does not describe a usable host (malformed).
struct HostRemoved {
    std::string id;
    bool malformed { false };
    std::uint64_t revision { 0 }; // of the store
};

// The operator has asked for the evacuation of an availability zone, or has taken the request back.
struct EvacuationChanged {
    std::string availabilityZone;
    bool evacuated { false };
    std::uint64_t revision { 0 }; // of the store
};

using DirectoryChange = std::variant<RouteTableWritten, HostWritten, HostRemoved, EntryRefused, EvacuationChanged>;

}
