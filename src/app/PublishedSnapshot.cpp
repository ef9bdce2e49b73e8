#include "app/PublishedSnapshot.h"

#include "app/DirectorySnapshot.h"
#include "state/HostDirectory.h"

namespace chicoryferry {

void PublishedSnapshot::update(const HostDirectory& directory, std::chrono::steady_clock::time_point now)
{
    if (directory.versionBegun() != directory.version()) {
        // The directory has entries of two eras. Under the version of the earlier one, a peer would take the revisions
        // of the present one for older than they are, and miss changes.
        return;
    }
    this->publishedVersion = directory.version();
    std::string encodedDirectory = encodeSnapshot(directory, now);
    const std::lock_guard lock(this->mutex);
    this->bytes = std::move(encodedDirectory);
}

std::string PublishedSnapshot::encoded() const
{
    const std::lock_guard lock(this->mutex);
    return this->bytes;
}

}
