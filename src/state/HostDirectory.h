#pragma once

#include "protocol/HostEntry.h"
#include "protocol/RouteTable.h"
#include "state/DirectoryChange.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicoryferry {

// A backend server as this process knows it.
struct KnownHost {
    HostEntry entry;
    std::chrono::steady_clock::time_point learnedAt; // when the entry was last written
    std::optional<std::chrono::steady_clock::time_point> missingSince; // absent from a listing
};

// What this process believes of the configuration and the backend servers. Versions of the configuration never go
// back in the life of a process, whatever the store or a peer answers.
class HostDirectory {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // What a change did.
    enum class Effect {
        None,
        HostsChanged,
        RoutesChanged,
        RefusedOlder,
        RefusedMalformed,
    };

    Effect apply(const DirectoryChange&, TimePoint now);

    // Hosts that were not written between the two calls are missing. A missing host stays in use for returnGrace,
    // because living hosts write their entries again within that time; a draining one is removed at once.
    void beginListing();
    // Returns whether hosts were removed.
    bool endListing(TimePoint now);

    // Removes hosts that have been missing for too long. Returns whether there were any.
    bool expire(TimePoint now);

    const RouteTable& routes() const { return this->table; }
    bool hasRoutes() const { return this->table.version > 0; }

    // Nothing when the configuration in force has no route to the address.
    const FlowRoute* route(const Endpoint& address) const;

    // By id. Of several entries with one address the newest lifetime counts; the others are not contained.
    std::vector<const KnownHost*> hosts() const;

    // Living hosts are back in the store about 2 s after its return; a host that is gone must be out of use after 3 s.
    static constexpr std::chrono::milliseconds returnGrace { 2200 };

private:
    Effect applyHost(const HostEntry&, TimePoint now);
    Effect applyRemoval(const HostRemoved&, TimePoint now);

    RouteTable table;
    std::map<std::string, KnownHost> known;
    std::set<std::string> listed;
};

}
