#include "state/IdempotencyRecords.h"

namespace chicoryferry {

IdempotencyRecord* IdempotencyRecords::find(const std::string& service, const std::string& key)
{
    const auto found = this->records.find({ service, key });
    return found == this->records.end() ? nullptr : &found->second;
}

IdempotencyRecord* IdempotencyRecords::put(
    TimePoint now, const std::string& service, const std::string& key, const IdempotencyRecord& record)
{
    IdempotencyRecord* existing = this->find(service, key);
    if (existing == nullptr) {
        if (this->records.size() >= capacity) {
            return nullptr;
        }
        existing = &this->records[{ service, key }];
    }
    *existing = record;
    existing->lastUpdatedAt = now;
    return existing;
}

void IdempotencyRecords::holderRestarted(TimePoint now, const PeerIdentity& current)
{
    for (auto& [key, record] : this->records) {
        const bool earlier
            = record.holder.instance == current.instance && record.holder.incarnation < current.incarnation;
        if (earlier && record.state == IdempotencyRecord::State::Acquired) {
            record.state = IdempotencyRecord::State::Unknown;
            record.lastUpdatedAt = now;
        }
    }
}

void IdempotencyRecords::expire(TimePoint now, std::chrono::milliseconds retention, std::uint64_t versionInForce)
{
    for (auto entry = this->records.begin(); entry != this->records.end();) {
        IdempotencyRecord& record = entry->second;
        const bool fenceInForce = record.fencedVersion != 0 && record.fencedVersion >= versionInForce;
        if (now - record.lastUpdatedAt <= retention
            || (record.state == IdempotencyRecord::State::Fenced && fenceInForce)) {
            ++entry;
        } else if (record.state == IdempotencyRecord::State::Acquired) {
            record.state = IdempotencyRecord::State::Unknown;
            record.lastUpdatedAt = now;
            ++entry;
        } else {
            entry = this->records.erase(entry);
        }
    }
}

}
