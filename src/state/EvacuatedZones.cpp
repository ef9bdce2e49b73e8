#include "state/EvacuatedZones.h"

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
    const bool changed = zone.evacuated != evacuated;
    zone = { evacuated, revision, {} };
    return changed ? Effect::Changed : Effect::None;
}

EvacuatedZones::Effect EvacuatedZones::list(const std::string& availabilityZone, std::uint64_t revision)
{
    this->listed.insert(availabilityZone);
    const auto found = this->zones.find(availabilityZone);
    if (found != this->zones.end() && this->eraSince && found->second.retained) {
        found->second.retained = true; // may be a request that had been taken back after the copy
        return Effect::None;
    }
    return this->change(availabilityZone, true, revision);
}

bool EvacuatedZones::endListing(std::uint64_t revision)
{
    bool changed = false;
    for (auto& [name, zone] : this->zones) {
        if (this->listed.contains(name) || zone.revision > revision) {
            continue;
        }
        if (this->eraSince && zone.retained) {
            zone.retained = false;
            continue;
        }
        changed = changed || zone.evacuated;
        zone.evacuated = false;
        zone.revision = revision;
    }
    this->listed.clear();
    return changed;
}

void EvacuatedZones::beginEra(TimePoint now)
{
    this->eraSince = now;
    for (auto& [name, zone] : this->zones) {
        zone.revision = 0;
        zone.retained = zone.evacuated;
    }
}

bool EvacuatedZones::expire(TimePoint now)
{
    if (!this->eraSince || now - *this->eraSince < eraRetention) {
        return false;
    }
    this->eraSince.reset();
    bool changed = false;
    for (auto& [name, zone] : this->zones) {
        if (zone.retained) {
            changed = changed || zone.evacuated != *zone.retained;
            zone.evacuated = *zone.retained;
            zone.retained.reset();
        }
    }
    return changed;
}

std::set<std::string, std::less<>> EvacuatedZones::names() const
{
    std::set<std::string, std::less<>> names;
    for (const auto& [name, zone] : this->zones) {
        if (zone.evacuated) {
            names.insert(name);
        }
    }
    return names;
}

std::map<std::string, std::uint64_t> EvacuatedZones::requests() const
{
    std::map<std::string, std::uint64_t> requests;
    for (const auto& [name, zone] : this->zones) {
        if (zone.evacuated) {
            requests[name] = zone.revision;
        }
    }
    return requests;
}

}
