#pragma once

#include "state/DirectoryChange.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chicoryferry {

class HostDirectory;

// What a balancer hands to a peer that knows less of the store.
struct DirectorySnapshot {
    std::uint64_t revision { 0 };
    std::vector<DirectoryChange> changes; // that make up the whole directory
};

std::string encodeSnapshot(const HostDirectory&, std::uint64_t revision);

// Returns nothing when the bytes are not a snapshot.
std::optional<DirectorySnapshot> decodeSnapshot(const std::string& bytes);

}
