#pragma once

#include "state/StoreVersion.h"

#include <chrono>
#include <mutex>
#include <string>

namespace chicoryferry {

class HostDirectory;

// The encoded directory that peers may fetch. It is read by other threads than the one that updates it.
class PublishedSnapshot {
public:
    // Encodes the directory. Keeps the snapshot before while the first listing of an era is in progress.
    void update(const HostDirectory&, std::chrono::steady_clock::time_point now);

    // Version of the store that the snapshot holds.
    const StoreVersion& version() const { return this->publishedVersion; }

    // May be called by any thread.
    std::string encoded() const;

private:
    StoreVersion publishedVersion;
    mutable std::mutex mutex;
    std::string bytes; // protected by the mutex
};

}
