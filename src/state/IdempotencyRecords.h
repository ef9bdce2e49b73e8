#pragma once

#include "coordination/PeerIdentity.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace chicoryferry {

// State of one idempotency key on a host.
struct IdempotencyRecord {
    enum class State {
        Acquired, // granted to a request that has not ended
        Completed, // the request ran; its HTTP status is in `status`
        Released, // the request is known not to have run; the key may be acquired again
        Unknown, // the request may have run
        Fenced, // promised to another coordinator; not granted under configurations up to fencedVersion
    };

    State state { State::Acquired };
    PeerIdentity holder; // sender of the request that acquired or released the key
    std::uint64_t request { 0 };
    std::uint64_t fingerprint { 0 };
    unsigned status { 0 }; // HTTP status; only in state Completed
    std::uint64_t fencedVersion { 0 }; // newest configuration version under which another coordinator fenced the key
    std::chrono::steady_clock::time_point lastUpdatedAt;
};

// In-memory records of the idempotency keys for which this host has answered a query.
class IdempotencyRecords {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Maximum number of records. A host that has reached it grants no further keys.
    static constexpr std::size_t capacity = 200000;

    IdempotencyRecord* find(const std::string& service, const std::string& key);

    // Adds or replaces a record. Returns null when a new record would exceed the capacity.
    IdempotencyRecord* put(TimePoint, const std::string& service, const std::string& key, const IdempotencyRecord&);

    // Marks the keys acquired by earlier incarnations of the holder as Unknown: these incarnations can no longer report
    // how their requests ended.
    void holderRestarted(TimePoint, const PeerIdentity& current);

    // Removes records that have not been updated within the retention. Acquired records become Unknown first. Fenced
    // records stay while the configuration in force is not newer than the one under which they were fenced.
    void expire(TimePoint, std::chrono::milliseconds retention, std::uint64_t versionInForce);

    std::size_t size() const { return this->records.size(); }

    // Keyed by service and idempotency key.
    const std::map<std::pair<std::string, std::string>, IdempotencyRecord>& entries() const { return this->records; }

private:
    std::map<std::pair<std::string, std::string>, IdempotencyRecord> records;
};

}
