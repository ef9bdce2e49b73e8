#pragma once

#include "state/DirectoryChange.h"
#include "state/RetainedZone.h"
#include "state/StoreVersion.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

class HostDirectory;

// The directory as a balancer sends it to a peer that holds an older store revision.
struct DirectorySnapshot {
    StoreVersion version;
    std::vector<DirectoryChange> changes; // together the complete directory
    bool incomplete { false }; // running hosts may be left out
    std::vector<RetainedZone> retainedZones; // not among the changes
    std::chrono::milliseconds zoneRetention { 0 }; // how much longer these are retained
    std::vector<std::string> goneHosts; // ids of hosts that were removed from the store recently
    std::optional<std::uint64_t> eraRevision; // see HostDirectory::eraRevision()
    bool partial { false }; // running hosts may be left out for good
    bool listsZones { false }; // false: of a version that does not know evacuations
};

std::string encodeSnapshot(const HostDirectory&, std::chrono::steady_clock::time_point now);

// Returns std::nullopt if the bytes are not a valid snapshot.
std::optional<DirectorySnapshot> decodeSnapshot(const std::string& bytes);

}
