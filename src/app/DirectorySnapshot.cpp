#include "app/DirectorySnapshot.h"

#include "state/HostDirectory.h"
#include "steering.pb.h"
#include "support/Overloaded.h"

#include <algorithm>
#include <limits>
#include <set>

namespace chicoryferry {

namespace {

using std::chrono::milliseconds;

RouteTarget readTarget(const wire::DirectorySnapshot::Route& item)
{
    if (!item.service().empty()) {
        return item.service();
    }
    std::vector<WeightedService> services;
    for (const auto& weighted : item.weighted_services()) {
        services.push_back({ weighted.service(), weighted.weight() });
    }
    return services;
}

RouteTable readRoutes(const wire::DirectorySnapshot& snapshot)
{
    RouteTable table;
    table.version = snapshot.configuration_version();
    table.idleTimeout = milliseconds(snapshot.idle_timeout_ms());
    for (const auto& item : snapshot.services()) {
        table.services[item.service()] = { item.cold_starts_per_second() };
    }
    for (const auto& item : snapshot.routes()) {
        table.routes[{ item.address(), static_cast<std::uint16_t>(item.port()) }]
            = { readTarget(item), item.idempotent(), milliseconds(item.target_latency_ms()),
                  milliseconds(item.timeout_ms()), item.priority() };
    }
    return table;
}

void writeTarget(const RouteTarget& target, wire::DirectorySnapshot::Route& item)
{
    std::visit(Overloaded {
                   [&](const std::string& service) { item.set_service(service); },
                   [&](const std::vector<WeightedService>& services) {
                       for (const WeightedService& service : services) {
                           auto& weighted = *item.add_weighted_services();
                           weighted.set_service(service.service);
                           weighted.set_weight(service.weight);
                       }
                   },
               },
        target);
}

void writeHost(const HostDirectory& directory, const KnownHost& host, std::chrono::steady_clock::time_point now,
    wire::DirectorySnapshot::Host& item)
{
    item.set_id(host.entry.id);
    item.set_service(host.entry.service);
    item.set_address(host.entry.address.address);
    item.set_port(host.entry.address.port);
    item.set_availability_zone(host.entry.availabilityZone);
    item.set_slots(host.entry.slots);
    item.set_draining(host.entry.draining);
    item.set_started_at_ms(host.entry.startedAtMs);
    item.set_revision(host.revision);
    item.set_cold_remaining_ms(static_cast<std::uint32_t>(host.coldRemaining(now).count()));
    if (const auto retention = directory.retention(host, now)) {
        item.set_retained_ms(static_cast<std::uint32_t>(retention->remaining.count()));
        item.set_retained_draining(retention->draining);
    }
}

HostWritten readHost(const wire::DirectorySnapshot::Host& item, std::uint64_t snapshotRevision)
{
    HostWritten written { { item.id(), item.service(), { item.address(), static_cast<std::uint16_t>(item.port()) },
                              item.availability_zone(), item.slots(), item.draining(),
                              milliseconds(item.cold_remaining_ms()), item.started_at_ms() },
        item.revision() > 0 ? item.revision() : snapshotRevision };
    if (item.retained_ms() > 0) {
        written.retention = HostRetention { milliseconds(item.retained_ms()), item.retained_draining() };
    }
    return written;
}

void writeZones(
    const EvacuatedZones& zones, std::chrono::steady_clock::time_point now, wire::DirectorySnapshot& snapshot)
{
    snapshot.set_lists_zones(true);
    for (const auto& [zone, revision] : zones.requests()) {
        auto& item = *snapshot.add_evacuated_zones();
        item.set_zone(zone);
        item.set_revision(revision);
    }
    const auto end = zones.retentionEnd();
    if (!end || *end <= now) {
        return;
    }
    snapshot.set_zone_retention_ms(static_cast<std::uint32_t>(std::chrono::ceil<milliseconds>(*end - now).count()));
    for (const RetainedZone& zone : zones.retained()) {
        auto& item = *snapshot.add_retained_zones();
        item.set_zone(zone.name);
        item.set_revision(zone.revision);
        item.set_requested(zone.requested);
        item.set_evacuated(zone.evacuated);
    }
}

bool isValid(const wire::DirectorySnapshot::Host& host)
{
    return !host.id().empty() && !host.service().empty() && host.address() != 0 && host.port() > 0
        && host.port() <= std::numeric_limits<std::uint16_t>::max() && host.slots() > 0;
}

}

std::string encodeSnapshot(const HostDirectory& directory, std::chrono::steady_clock::time_point now)
{
    wire::DirectorySnapshot snapshot;
    snapshot.set_revision(directory.version().revision);
    snapshot.set_era(directory.version().era);
    snapshot.set_correction(directory.version().correction);
    if (const auto eraRevision = directory.eraRevision()) {
        snapshot.set_era_revision(*eraRevision);
    }
    snapshot.set_configuration_version(directory.routes().version);
    snapshot.set_idle_timeout_ms(static_cast<std::uint32_t>(directory.routes().idleTimeout.count()));
    for (const auto& [address, route] : directory.routes().routes) {
        auto& item = *snapshot.add_routes();
        item.set_address(address.address);
        item.set_port(address.port);
        writeTarget(route.target, item);
        item.set_idempotent(route.idempotent);
        item.set_target_latency_ms(static_cast<std::uint32_t>(route.targetLatency.count()));
        item.set_timeout_ms(static_cast<std::uint32_t>(route.timeout.count()));
        item.set_priority(route.priority);
    }
    for (const auto& [name, limits] : directory.routes().services) {
        auto& item = *snapshot.add_services();
        item.set_service(name);
        item.set_cold_starts_per_second(limits.coldStartsPerSecond);
    }
    snapshot.set_incomplete(!directory.isComplete());
    snapshot.set_partial(!directory.isWhole());
    writeZones(directory.evacuatedZones(), now, snapshot);
    for (const std::string& id : directory.goneHostIds()) {
        snapshot.add_gone_hosts(id);
    }
    for (const KnownHost* host : directory.hosts()) {
        if (!host->missingSince) {
            writeHost(directory, *host, now, *snapshot.add_hosts());
        }
    }
    for (const KnownHost* host : directory.withheldHosts()) {
        writeHost(directory, *host, now, *snapshot.add_withheld_hosts());
    }
    return snapshot.SerializeAsString();
}

std::optional<DirectorySnapshot> decodeSnapshot(const std::string& bytes)
{
    wire::DirectorySnapshot snapshot;
    if (!snapshot.ParseFromString(bytes)) {
        return std::nullopt;
    }
    DirectorySnapshot result;
    result.version = { snapshot.era(), snapshot.revision(), snapshot.correction() };
    result.incomplete = snapshot.incomplete();
    result.partial = snapshot.partial();
    if (snapshot.has_era_revision()) {
        result.eraRevision = snapshot.era_revision();
    }
    if (snapshot.configuration_version() > 0) {
        result.changes.emplace_back(RouteTableWritten { readRoutes(snapshot) });
    }
    result.listsZones = snapshot.lists_zones();
    result.goneHosts.assign(snapshot.gone_hosts().begin(), snapshot.gone_hosts().end());
    result.zoneRetention = milliseconds(snapshot.zone_retention_ms());
    std::set<std::string> retainedZones;
    for (const auto& item : snapshot.retained_zones()) {
        result.retainedZones.push_back({ item.zone(), item.requested(), item.revision(), item.evacuated() });
        retainedZones.insert(item.zone());
    }
    for (const auto& item : snapshot.evacuated_zones()) {
        if (!retainedZones.contains(item.zone())) {
            result.changes.emplace_back(EvacuationChanged { item.zone(), true, item.revision() });
        }
    }
    for (const auto* hosts : { &snapshot.hosts(), &snapshot.withheld_hosts() }) {
        for (const auto& item : *hosts) {
            if (!isValid(item)) {
                return std::nullopt;
            }
            result.changes.emplace_back(readHost(item, snapshot.revision()));
        }
    }
    return result;
}

}
