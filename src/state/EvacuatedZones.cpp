#include "state/EvacuatedZones.h"

#include <algorithm>

namespace chicoryferry {

namespace {

// Bounds the memory used for requests that name zones which do not exist.
constexpr std::size_t maximumZones = 256;

}

EvacuatedZones::Effect EvacuatedZones::change(
    const std::string& availabilityZone, bool evacuated, std::uint64_t revision)
{
    const auto found = this->zones.find(availabilityZone);
    if (found == this->zones.end()) {
        if (this->zones.size() >= maximumZones) {
            return Effect::None;
        }
        this->zones[availabilityZone] = { evacuated, revision, {} };
        return evacuated ? Effect::Changed : Effect::None;
    }
    Zone& zone = found->second;
    if (revision < zone.revision) {
        return Effect::RefusedOlder;
    }
    const bool changed = zone.isEvacuated() != evacuated;
    zone = { evacuated, revision, {} };
    return changed ? Effect::Changed : Effect::None;
}

EvacuatedZones::Effect EvacuatedZones::list(const std::string& availabilityZone, std::uint64_t revision, bool isCopied)
{
    this->listed.insert(availabilityZone);
    const auto found = this->zones.find(availabilityZone);
    if (found == this->zones.end() || !found->second.retained || !isCopied) {
        return this->change(availabilityZone, true, revision);
    }
    // May be a request that had been taken back after the copy.
    found->second.requested = true;
    found->second.revision = revision;
    return Effect::None;
}

bool EvacuatedZones::listRetained(const RetainedZone& peerZone, TimePoint end)
{
    if (peerZone.requested) {
        this->listed.insert(peerZone.name);
    }
    const auto found = this->zones.find(peerZone.name);
    const bool known = found != this->zones.end();
    if (known ? found->second.revision > peerZone.revision : this->zones.size() >= maximumZones) {
        return false;
    }
    const bool wasEvacuated = known && found->second.isEvacuated();
    this->zones[peerZone.name] = { peerZone.requested, peerZone.revision, peerZone.evacuated };
    this->retainedUntil = std::max(end, this->retainedUntil.value_or(end));
    return wasEvacuated != peerZone.evacuated;
}

bool EvacuatedZones::endListing(std::uint64_t revision)
{
    bool changed = false;
    for (auto& [name, zone] : this->zones) {
        if (this->listed.contains(name) || zone.revision > revision) {
            continue;
        }
        if (zone.retained && zone.revision == 0) {
            continue; // the copy may have forgotten the request
        }
        changed = changed || zone.isEvacuated();
        zone = { false, revision, {} };
    }
    this->listed.clear();
    return changed;
}

void EvacuatedZones::beginEra(TimePoint now)
{
    this->retainedUntil = now + eraRetention;
    for (auto& [name, zone] : this->zones) {
        zone = { false, 0, zone.isEvacuated() };
    }
}

bool EvacuatedZones::expire(TimePoint now)
{
    if (!this->retainedUntil || now < *this->retainedUntil) {
        return false;
    }
    this->retainedUntil.reset();
    bool changed = false;
    for (auto& [name, zone] : this->zones) {
        changed = changed || zone.isEvacuated() != zone.requested;
        zone.retained.reset();
    }
    return changed;
}

std::vector<RetainedZone> EvacuatedZones::retained() const
{
    std::vector<RetainedZone> retained;
    for (const auto& [name, zone] : this->zones) {
        if (zone.retained && (zone.requested || zone.isEvacuated())) {
            retained.push_back({ name, zone.requested, zone.revision, zone.isEvacuated() });
        }
    }
    return retained;
}

std::set<std::string, std::less<>> EvacuatedZones::names() const
{
    std::set<std::string, std::less<>> names;
    for (const auto& [name, zone] : this->zones) {
        if (zone.isEvacuated()) {
            names.insert(name);
        }
    }
    return names;
}

std::map<std::string, std::uint64_t> EvacuatedZones::storeRequests() const
{
    std::map<std::string, std::uint64_t> requests;
    for (const auto& [name, zone] : this->zones) {
        if (zone.requested) {
            requests[name] = zone.revision;
        }
    }
    return requests;
}

std::map<std::string, std::uint64_t> EvacuatedZones::requests() const
{
    std::map<std::string, std::uint64_t> requests;
    for (const auto& [name, zone] : this->zones) {
        if (zone.isEvacuated()) {
            requests[name] = zone.revision;
        }
    }
    return requests;
}

}
