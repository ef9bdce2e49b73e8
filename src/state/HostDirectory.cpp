#include "state/HostDirectory.h"

#include "support/Overloaded.h"

#include <algorithm>
#include <xxhash.h>

namespace chicoryferry {

std::chrono::milliseconds KnownHost::coldRemaining(std::chrono::steady_clock::time_point now) const
{
    if (this->entry.coldRemaining.count() == 0) {
        return std::chrono::milliseconds(0);
    }
    const auto left = this->learnedAt + this->entry.coldRemaining - now;
    return std::max(std::chrono::milliseconds(0), std::chrono::ceil<std::chrono::milliseconds>(left));
}

HostDirectory::Effect HostDirectory::applyHost(const HostWritten& written, TimePoint now)
{
    const HostEntry& entry = written.entry;
    this->listed.insert(entry.id);
    // All changes up to knownRevision are known, so that an unknown or missing host with an older entry has been
    // removed since. A listing is newer than knownRevision, and what it contains exists.
    const auto earlier = this->known.find(entry.id);
    const bool absent = earlier == this->known.end() || earlier->second.missingSince;
    if (!this->isListing && written.revision < this->knownRevision && absent) {
        return Effect::RefusedOlder;
    }
    const auto [found, added] = this->known.try_emplace(entry.id);
    KnownHost& host = found->second;
    if (written.revision < host.revision) {
        return Effect::RefusedOlder;
    }
    if (!absent && written.revision > 0 && written.revision == host.revision) {
        // A peer's copy of the entry may have fewer fields.
        return takeRetention(host, written, now) ? Effect::HostsChanged : Effect::None;
    }
    const bool copied = this->isCopied(written.revision, now);
    const bool retained = this->retain(host, entry.id, !added && host.isDraining(), copied)
        || (!host.missingSince && takeRetention(host, written, now));
    // A host whose entry was removed before the store came back may have gone; the copy does not know it.
    const bool returns = host.missingSince && (!copied || host.forgotten);
    host.restored = host.missingSince && !returns;
    const bool entryChanged = added || host.entry != entry;
    const bool changed = entryChanged || returns || retained;
    host.revision = written.revision;
    if (returns) {
        host.missingSince.reset();
        host.forgotten = false;
    }
    if (entryChanged) {
        host.entry = entry;
        host.learnedAt = now;
    }
    if (!copied) {
        this->goneHosts.erase(entry.id);
    }
    return changed ? Effect::HostsChanged : Effect::None;
}

bool HostDirectory::takeRetention(KnownHost& host, const HostWritten& written, TimePoint now)
{
    if (!written.retention || host.retainedUntil) {
        return false;
    }
    host.retainedUntil = now + std::min(written.retention->remaining, missingHostTimeout);
    host.retainedDraining = written.retention->draining;
    return true;
}

bool HostDirectory::isCopied(std::uint64_t revision, TimePoint now) const
{
    return this->eraSince && now - *this->eraSince < missingHostTimeout && this->mayBeCopied(revision);
}

bool HostDirectory::mayBeCopied(std::uint64_t revision) const
{
    if (!this->eraSince) {
        return false;
    }
    // The store has given out every revision above one that it has stated in this era in this era.
    return this->lowestEraRevision ? revision <= *this->lowestEraRevision : this->isListing;
}

bool HostDirectory::retain(KnownHost& host, const std::string& id, bool wasDraining, bool isCopied) const
{
    const bool wasRetained = host.retainedUntil.has_value();
    if (!isCopied) {
        host.retainedUntil.reset();
        return wasRetained;
    }
    if (wasDraining || host.isGone() || this->goneHosts.contains(id)) {
        host.retainedUntil = *this->eraSince + missingHostTimeout;
        host.retainedDraining = wasDraining;
    }
    return wasRetained != host.retainedUntil.has_value();
}

void HostDirectory::recordGone(const std::string& id, bool isRemoved, TimePoint now)
{
    constexpr std::size_t maximumGoneHosts = 4096; // bounds the memory; more would be gone within a minute
    if (this->goneHosts.size() < maximumGoneHosts) {
        this->goneHosts[id] = { now, isRemoved };
    }
}

void HostDirectory::beginEra(std::uint64_t nextEra, TimePoint now) { this->begin(nextEra, 0, now); }

void HostDirectory::beginCorrection(TimePoint now)
{
    this->begin(this->era, this->correction + 1, now);
    this->completeVersion = this->versionBegun();
}

bool HostDirectory::follow(const StoreVersion& version, TimePoint now)
{
    if (StoreVersion { version.era, 0, version.correction } <= StoreVersion { this->era, 0, this->correction }) {
        return false;
    }
    this->begin(version.era, version.correction, now);
    return true;
}

void HostDirectory::begin(std::uint64_t nextEra, std::uint64_t nextCorrection, TimePoint now)
{
    this->era = nextEra;
    this->correction = nextCorrection;
    this->knownRevision = 0;
    this->eraSince = now;
    this->lowestEraRevision.reset();
    this->complete = false; // hosts that have started since may be unknown
    for (auto& [id, host] : this->known) {
        host.revision = 0;
        host.restored = false;
        if (host.missingSince && host.forgotten) {
            host.missingSince = now; // running hosts write again after this return of the store, too
        }
    }
    this->evacuations.beginEra(now);
}

HostDirectory::Effect HostDirectory::applyRemoval(const HostRemoved& removed, TimePoint now)
{
    const auto found = this->known.find(removed.id);
    if (found == this->known.end()) {
        return removed.malformed ? Effect::RefusedMalformed : Effect::None;
    }
    if (removed.revision < found->second.revision) {
        return Effect::RefusedOlder;
    }
    found->second.revision = removed.revision;
    // A host whose own entry has become malformed is treated like one whose entry has gone: nothing says any longer
    // that it is in use, and a running host writes a valid entry again.
    // A copy of the store may have forgotten a draining host that still has open flows.
    if (found->second.entry.draining && !this->isCopied(removed.revision, now)) {
        this->recordGone(removed.id, true, now);
        this->known.erase(found);
        return Effect::HostsChanged;
    }
    found->second.forgotten = false;
    found->second.restored = false;
    // The entry of a running host can expire, for example while the store is down; the host then writes it again.
    if (!found->second.missingSince) {
        found->second.missingSince = now;
    }
    return removed.malformed ? Effect::RefusedMalformed : Effect::None;
}

HostDirectory::Effect HostDirectory::applyEvacuation(const EvacuationChanged& request)
{
    // All changes up to knownRevision are known, as for hosts.
    if (!this->isListing && request.revision < this->knownRevision) {
        return Effect::RefusedOlder;
    }
    const auto effect = this->isListing && request.evacuated
        ? this->evacuations.list(request.availabilityZone, request.revision, this->mayBeCopied(request.revision))
        : this->evacuations.change(request.availabilityZone, request.evacuated, request.revision);
    switch (effect) {
    case EvacuatedZones::Effect::None:
        return Effect::None;
    case EvacuatedZones::Effect::Changed:
        return Effect::EvacuationChanged;
    case EvacuatedZones::Effect::RefusedOlder:
        break;
    }
    return Effect::RefusedOlder;
}

HostDirectory::Effect HostDirectory::applyRetainedZone(
    const RetainedZone& zone, std::chrono::milliseconds remaining, TimePoint now)
{
    const auto longest = std::chrono::milliseconds(EvacuatedZones::eraRetention);
    return this->evacuations.listRetained(zone, now + std::min(remaining, longest)) ? Effect::EvacuationChanged
                                                                                    : Effect::None;
}

void HostDirectory::applyRoutes(const RouteTable& next, TimePoint now)
{
    for (const auto& [address, route] : this->table.routes) {
        if (!next.routes.contains(address)) {
            this->removedRoutes[address] = now;
        }
    }
    std::erase_if(this->removedRoutes, [&](const auto& item) { return next.routes.contains(item.first); });
    this->table = next;
    this->routedServices.clear();
    for (const auto& [address, route] : next.routes) {
        std::visit(Overloaded {
                       [this](const std::string& service) { this->routedServices.insert(service); },
                       [this](const std::vector<WeightedService>& services) {
                           for (const WeightedService& weighted : services) {
                               this->routedServices.insert(weighted.service);
                           }
                       },
                   },
            route.target);
    }
}

bool HostDirectory::isMorePlausible(const KnownHost& left, const KnownHost& right) const
{
    const bool leftRouted = this->routedServices.contains(left.entry.service);
    const bool rightRouted = this->routedServices.contains(right.entry.service);
    if (leftRouted != rightRouted) {
        return leftRouted;
    }
    if (left.revision != right.revision) {
        return left.revision > right.revision;
    }
    // The start time is that of the machine's clock, which may be stepped back between two starts.
    if (left.entry.startedAtMs != right.entry.startedAtMs) {
        return left.entry.startedAtMs > right.entry.startedAtMs;
    }
    return left.learnedAt > right.learnedAt;
}

HostDirectory::Effect HostDirectory::apply(const DirectoryChange& change, TimePoint now)
{
    return std::visit(Overloaded {
                          [&](const RouteTableWritten& written) {
                              if (written.table.version <= this->table.version) {
                                  return written.table == this->table ? Effect::None : Effect::RefusedOlder;
                              }
                              this->applyRoutes(written.table, now);
                              return Effect::RoutesChanged;
                          },
                          [&](const HostWritten& written) { return this->applyHost(written, now); },
                          [&](const HostRemoved& removed) { return this->applyRemoval(removed, now); },
                          [](const EntryRefused&) { return Effect::RefusedMalformed; },
                          [&](const EvacuationChanged& request) { return this->applyEvacuation(request); },
                      },
        change);
}

std::uint64_t HostDirectory::digest() const
{
    // A sum does not depend on the order. The seeds keep entries of hosts and of zones apart.
    std::uint64_t sum = 1;
    for (const auto& [id, host] : this->known) {
        if (!host.missingSince || host.restored) {
            sum += XXH3_64bits_withSeed(id.data(), id.size(), 2 * host.revision);
        }
    }
    for (const auto& [zone, revision] : this->evacuations.storeRequests()) {
        sum += XXH3_64bits_withSeed(zone.data(), zone.size(), 2 * revision + 1);
    }
    return std::max<std::uint64_t>(sum, 1);
}

bool HostDirectory::hasRetention(TimePoint now) const
{
    return this->evacuations.retentionEnd()
        || std::any_of(this->known.begin(), this->known.end(),
            [&](const auto& item) { return this->retention(item.second, now).has_value(); });
}

void HostDirectory::abandonListing(std::uint64_t revision)
{
    this->endMerge();
    this->complete = false;
    this->advanceTo(revision);
}

void HostDirectory::endMerge()
{
    this->isListing = false;
    this->listed.clear();
    this->listedGone.clear();
}

void HostDirectory::listGoneHost(const std::string& id) { this->listedGone.insert(id); }

std::vector<std::string> HostDirectory::goneHostIds() const
{
    std::vector<std::string> ids;
    ids.reserve(this->goneHosts.size());
    for (const auto& [id, gone] : this->goneHosts) {
        if (gone.isRemoved && !this->known.contains(id)) {
            ids.push_back(id);
        }
    }
    return ids;
}

void HostDirectory::beginListing(std::optional<std::uint64_t> statedRevision, Source source)
{
    this->listingSource = source;
    this->listedGone.clear();
    if (statedRevision && this->eraSince) {
        this->lowestEraRevision = std::min(*statedRevision, this->lowestEraRevision.value_or(*statedRevision));
    }
    this->listed.clear();
    this->evacuations.beginListing();
    this->isListing = true;
}

bool HostDirectory::markAbsent(const std::string& id, TimePoint now)
{
    const auto found = this->known.find(id);
    KnownHost& host = found->second;
    // A copy of the store may have forgotten a draining host that still has open flows. It has not if the host's entry
    // was read in the present era.
    const bool mayBeForgotten = this->eraSince && host.revision == 0;
    // A peer may lack a host for no reason.
    const bool isRemoved = this->listingSource == Source::Store ? !mayBeForgotten : this->listedGone.contains(id);
    if (host.entry.draining && isRemoved) {
        this->recordGone(id, true, now);
        this->known.erase(found);
        return true;
    }
    host.restored = false;
    if (!host.missingSince) {
        host.missingSince = now;
        host.forgotten = !isRemoved;
    }
    return false;
}

bool HostDirectory::endListing(std::uint64_t revision, TimePoint now)
{
    bool changed = this->evacuations.endListing(revision);
    std::vector<std::string> missing;
    for (const auto& [id, host] : this->known) {
        if (!this->listed.contains(id) && host.revision <= revision) {
            missing.push_back(id);
        }
    }
    for (const std::string& id : missing) {
        changed = this->markAbsent(id, now) || changed;
    }
    this->listed.clear();
    this->listedGone.clear();
    this->isListing = false;
    if (this->eraSince && !this->lowestEraRevision) {
        this->lowestEraRevision = revision;
    }
    this->advanceTo(revision);
    this->complete = true;
    return changed;
}

bool HostDirectory::awaitsHosts() const
{
    return std::any_of(this->known.begin(), this->known.end(),
        [](const auto& item) { return item.second.missingSince.has_value() || item.second.isGone(); });
}

bool HostDirectory::isComplete() const
{
    // While the entry of a known host is missing, those of running hosts that this process has not read may be, too.
    return this->complete && !this->incompleteSince && !this->awaitsHosts();
}

bool HostDirectory::hasColdHost(TimePoint now) const
{
    return std::any_of(this->known.begin(), this->known.end(),
        [&](const auto& item) { return item.second.coldRemaining(now).count() > 0; });
}

bool HostDirectory::keepRestored(KnownHost& host, TimePoint now) const
{
    if (!host.restored) {
        return false;
    }
    host.missingSince.reset();
    host.restored = false;
    if (this->eraSince && now - *this->eraSince < missingHostTimeout) {
        host.retainedUntil = *this->eraSince + missingHostTimeout;
        host.retainedDraining = false;
    }
    return true;
}

bool HostDirectory::expire(TimePoint now)
{
    std::erase_if(this->removedRoutes, [&](const auto& item) { return now - item.second > removedRouteRetention; });
    if (this->incompleteSince && now - *this->incompleteSince >= missingHostTimeout) {
        this->incompleteSince.reset();
    }
    const bool evacuationsChanged = this->evacuations.expire(now);
    bool changed = evacuationsChanged;
    for (auto item = this->known.begin(); item != this->known.end();) {
        KnownHost& host = item->second;
        if (host.retainedUntil && now >= *host.retainedUntil) {
            host.retainedUntil.reset();
            this->goneHosts.erase(item->first);
            changed = true;
        }
        if (!host.missingSince || now - *host.missingSince < missingHostTimeout) {
            ++item;
            continue;
        }
        changed = true;
        if (this->keepRestored(host, now)) {
            ++item;
            continue;
        }
        this->recordGone(item->first, !host.forgotten, now);
        this->expiredHosts.push_back(item->first);
        item = this->known.erase(item);
    }
    std::erase_if(this->goneHosts, [&](const auto& item) { return now - item.second.since > goneHostRetention; });
    return changed;
}

const FlowRoute* HostDirectory::route(const Endpoint& address) const
{
    const auto found = this->table.routes.find(address);
    return found == this->table.routes.end() ? nullptr : &found->second;
}

std::vector<const KnownHost*> HostDirectory::withheldHosts() const
{
    std::vector<const KnownHost*> hosts;
    for (const auto& [id, host] : this->known) {
        if (host.isGone() || host.restored) {
            hosts.push_back(&host);
        }
    }
    return hosts;
}

std::optional<HostRetention> HostDirectory::retention(const KnownHost& host, TimePoint now) const
{
    const auto remaining = [now](TimePoint end) { return std::chrono::ceil<std::chrono::milliseconds>(end - now); };
    if (host.retainedUntil && *host.retainedUntil > now) {
        return HostRetention { remaining(*host.retainedUntil), host.retainedDraining };
    }
    if (host.restored && this->eraSince && now - *this->eraSince < missingHostTimeout) {
        return HostRetention { remaining(*this->eraSince + missingHostTimeout), false };
    }
    return std::nullopt;
}

std::vector<const KnownHost*> HostDirectory::hosts() const
{
    std::vector<const KnownHost*> hosts;
    hosts.reserve(this->known.size());
    for (const auto& [id, host] : this->known) {
        if (!host.isGone()) {
            hosts.push_back(&host);
        }
    }
    // Each machine has one host, so that entries with different ports of it name the same host.
    std::stable_sort(hosts.begin(), hosts.end(), [this](const KnownHost* left, const KnownHost* right) {
        const std::uint32_t leftMachine = left->entry.address.address;
        const std::uint32_t rightMachine = right->entry.address.address;
        return leftMachine != rightMachine ? leftMachine < rightMachine : this->isMorePlausible(*left, *right);
    });
    return hosts;
}

}
