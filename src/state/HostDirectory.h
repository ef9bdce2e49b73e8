#pragma once

#include "protocol/HostEntry.h"
#include "protocol/RouteTable.h"
#include "state/DirectoryChange.h"
#include "state/EvacuatedZones.h"
#include "state/StoreVersion.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace chicoryferry {

// The last known state of a backend server.
struct KnownHost {
    HostEntry entry;
    std::uint64_t revision { 0 }; // store revision of the last change of the entry, which may be its removal
    std::chrono::steady_clock::time_point learnedAt; // when the entry last changed
    std::optional<std::chrono::steady_clock::time_point> missingSince; // set while the store has no usable entry

    // While missing: no removal of the entry is known, only a listing of a later era that lacks it.
    bool forgotten { false };
    // While missing: the store has come back from a copy with the entry, which may have been removed after the copy.
    bool restored { false };

    // While set: what an earlier era of the store said of the host, draining or gone, holds in place of the entry.
    std::optional<std::chrono::steady_clock::time_point> retainedUntil;
    bool retainedDraining { false }; // the host was draining; otherwise it was gone

    bool isDraining() const { return this->entry.draining || (this->retainedUntil && this->retainedDraining); }
    bool isGone() const { return this->retainedUntil && !this->retainedDraining; }

    // How much longer the backend server is cold; 0 if it is not.
    std::chrono::milliseconds coldRemaining(std::chrono::steady_clock::time_point now) const;
};

// The route table and the backend servers as known to this process. Answers of the store and of peers may arrive in any
// order: the version of the configuration never decreases while a process runs, and a change of a host's entry is only
// applied if it is newer than what is known.
class HostDirectory {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    enum class Effect {
        None,
        HostsChanged,
        RoutesChanged,
        EvacuationChanged,
        RefusedOlder,
        RefusedMalformed,
    };

    // Where a listing comes from.
    enum class Source {
        Store,
        Peer,
    };

    Effect apply(const DirectoryChange&, TimePoint now);

    // Store revision up to which all changes are known; 0 before the first listing of the era.
    std::uint64_t revision() const { return this->knownRevision; }

    // Era of the store that is being read.
    std::uint64_t storeEra() const { return this->era; }

    // The last version of the store that is known completely. While the first listing of an era is in progress, it is
    // that of the era before, so that peers do not take a part for the whole.
    const StoreVersion& version() const { return this->completeVersion; }

    // The last version of the store that is known completely or, while the first listing of an era is in progress, the
    // beginning of that era. A peer's state is newer only if its version is above this one: the revisions of an earlier
    // era say nothing about those of the present one.
    StoreVersion versionBegun() const
    {
        return std::max(this->completeVersion, StoreVersion { this->era, 0, this->correction });
    }

    // Whether the store has been listed once, so that hosts and evacuated zones are known.
    bool isListed() const { return this->completeVersion.revision > 0; }

    // The store has come back from an older copy. Everything known stays in force until the listing that has to follow
    // has ended. What the copy has forgotten is written again by running hosts and by the operator: a host that the
    // copy lacks counts as missing, one that was draining or gone stays so for missingHostTimeout, evacuations hold for
    // EvacuatedZones::eraRetention, and the configuration never goes back.
    void beginEra(std::uint64_t era, TimePoint now);

    // An answer of the store has shown that a revision known here is false. Goes on as with a new era. Until the
    // listing that has to follow has ended, this process has no version to offer to peers.
    void beginCorrection(TimePoint now);

    // Begins the era or correction of a peer's state if it is a later one. Returns whether it is.
    bool follow(const StoreVersion&, TimePoint now);

    // Takes over what a peer retains of zones. Between beginListing() and endListing().
    Effect applyRetainedZone(const RetainedZone&, std::chrono::milliseconds remaining, TimePoint now);

    // The lowest revision that the store is known to have stated in the present era or correction. Unset in the first
    // era and before the first listing of a later one.
    std::optional<std::uint64_t> eraRevision() const { return this->lowestEraRevision; }

    // Records that all changes up to the revision have been applied.
    void advanceTo(std::uint64_t revision)
    {
        this->knownRevision = std::max(this->knownRevision, revision);
        this->completeVersion = { this->era, this->knownRevision, this->correction };
    }

    // Delimit a full listing of the store or of a peer's directory, which has all changes up to `revision`: hosts
    // without a HostWritten between the two calls count as missing, unless they have changed later. A missing host
    // stays in use for missingHostTimeout, because running hosts rewrite their entries within that time; a draining
    // host is removed at once, unless a copy may have forgotten it. statedRevision: the lowest revision that the source
    // of the listing knows the store to have stated in its present era, if it knows one.
    void beginListing(std::optional<std::uint64_t> statedRevision = std::nullopt, Source = Source::Store);
    // Returns whether hosts were removed or evacuations have ended.
    bool endListing(std::uint64_t revision, TimePoint now);
    // Ends a listing of which not all pages could be read, or a peer's that follows from one, so that it does not show
    // which hosts are missing.
    void abandonListing(std::uint64_t revision);

    // Whether this process, or the peer whose state it has taken, has read the whole store in the present era.
    bool isWhole() const { return this->complete; }

    // Ends a listing whose entries are only added to those known here: no host counts as missing.
    void endMerge();

    // Names a host that the source of the listing in progress, a peer, knows to have been removed from the store. The
    // listing then shows removals only of these: any other host that it lacks counts as missing, also if it drains.
    void listGoneHost(const std::string& id);

    // Hosts that were removed from the store recently.
    std::vector<std::string> goneHostIds() const;
    bool isRecordedGone(const std::string& id) const { return this->goneHosts.contains(id); }

    // Whether hosts that may be running have no usable entry in the store, or are withheld.
    bool awaitsHosts() const;

    // Whether every running host is known: the whole store has been read in the present era, and no host is missing.
    bool isComplete() const;

    // Digest of the entries that the store has at version(), as far as they are known; never 0. Balancers that know the
    // same version completely have the same one.
    std::uint64_t digest() const;

    // Sets whether a peer knows, or may know, a host that is not known here: it has announced a newer state of the
    // store, other entries of the same one, or hosts whose entries are missing there.
    void setBehind(bool isBehind) { this->behind = isBehind; }

    // Whether every running host that any balancer knows is known here. Only then does the absence of a flow from all
    // known hosts show that it is lost.
    bool isCurrent() const { return this->isComplete() && !this->behind; }

    // Records that the last listing was a peer's and left out hosts that are missing there. After missingHostTimeout
    // these have written their entries again or are gone.
    void markIncomplete(TimePoint now) { this->incompleteSince = now; }

    bool hasColdHost(TimePoint now) const;

    // Whether what an earlier era of the store said of a host or zone holds at present.
    bool hasRetention(TimePoint now) const;

    // Removes hosts that have been missing for at least missingHostTimeout. Those that the copy of a later era has are
    // in use again once running hosts have had that time to write since the era began. Forgets routes that were removed
    // more than removedRouteRetention ago. Returns whether hosts or evacuated zones have changed.
    bool expire(TimePoint now);

    // Returns the ids of the hosts that expire() has removed since the last call.
    std::vector<std::string> takeExpiredHosts() { return std::exchange(this->expiredHosts, {}); }

    const RouteTable& routes() const { return this->table; }
    bool hasRoutes() const { return this->table.version > 0; }

    // Whether a configuration that this process knew had a route to the address within the last removedRouteRetention,
    // and a newer one removed it.
    bool isRemovedRoute(const Endpoint& address) const { return this->removedRoutes.contains(address); }

    const EvacuatedZones& evacuatedZones() const { return this->evacuations; }

    // Null when the configuration in force has no route to the address.
    const FlowRoute* route(const Endpoint& address) const;

    // All backend servers, ordered by the address of their machine. Several entries can name one machine: those of
    // successive hosts, or one of another writer. The most plausible is the first of its machine: one of a service that
    // a route in force names, and of these the one written last.
    std::vector<const KnownHost*> hosts() const;

    // Running hosts have rewritten their entries about 2 s after the store comes back; a host that has stopped must be
    // out of use after 3 s.
    static constexpr std::chrono::milliseconds missingHostTimeout { 2200 };

    // Hosts that are out of use although the store has their entries: an earlier era, or a removal before the store
    // came back from a copy, says that they are gone.
    std::vector<const KnownHost*> withheldHosts() const;

    // What an earlier era of the store, or a removal before it came back, says of the host in place of the entry, and
    // for how much longer. Unset if the entry holds.
    std::optional<HostRetention> retention(const KnownHost&, TimePoint now) const;

    // Maximum lifetime of a flow on the users' platform; older flows need no answer.
    static constexpr std::chrono::milliseconds removedRouteRetention { 60000 };

    // A copy from which the store comes back is some seconds old.
    static constexpr std::chrono::milliseconds goneHostRetention { 60000 };

private:
    void begin(std::uint64_t nextEra, std::uint64_t nextCorrection, TimePoint now);
    Effect applyHost(const HostWritten&, TimePoint now);
    Effect applyRemoval(const HostRemoved&, TimePoint now);
    // Begins or ends the retention of what an earlier era said of a host whose entry is read. Returns whether it has
    // begun or ended.
    bool retain(KnownHost&, const std::string& id, bool wasDraining, bool isCopied) const;
    // Whether an entry with the revision may come from an older copy of the store.
    bool mayBeCopied(std::uint64_t revision) const;
    // Whether it may, and running hosts may not have written again yet what the copy has forgotten.
    bool isCopied(std::uint64_t revision, TimePoint now) const;
    // Takes over what a peer retains of the host, unless this process retains something itself. Returns whether it has.
    static bool takeRetention(KnownHost&, const HostWritten&, TimePoint now);
    // Ends the absence of a host that has been missing for missingHostTimeout, if the store has its entry again.
    // Returns whether it has.
    bool keepRestored(KnownHost&, TimePoint now) const;
    // Handles a host that a listing lacks. Returns whether the host was removed at once.
    bool markAbsent(const std::string& id, TimePoint now);
    void recordGone(const std::string& id, bool isRemoved, TimePoint now);
    Effect applyEvacuation(const EvacuationChanged&);

    void applyRoutes(const RouteTable&, TimePoint now);
    bool isMorePlausible(const KnownHost&, const KnownHost&) const;

    RouteTable table;
    std::set<std::string, std::less<>> routedServices; // services that a route of the table names
    std::map<Endpoint, TimePoint> removedRoutes; // with the time of their removal
    std::map<std::string, KnownHost> known;
    EvacuatedZones evacuations;
    std::uint64_t era { 0 };
    std::uint64_t correction { 0 }; // within the era
    StoreVersion completeVersion;
    std::uint64_t knownRevision { 0 };
    std::optional<TimePoint> eraSince; // when the present era or correction began; unset in the first era
    std::optional<std::uint64_t> lowestEraRevision; // see eraRevision()
    struct GoneHost {
        TimePoint since;
        bool isRemoved { false }; // the removal of its entry is known; otherwise listings lacked it
    };
    std::map<std::string, GoneHost> goneHosts; // hosts whose removal a copy of the store may have forgotten
    bool isListing { false };
    Source listingSource { Source::Store };
    std::set<std::string> listed;
    std::set<std::string> listedGone;
    bool complete { false };
    std::optional<TimePoint> incompleteSince;
    std::vector<std::string> expiredHosts;
    bool behind { false };
};

}
