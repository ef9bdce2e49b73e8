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

// What a host knows of one idempotency key.
struct IdempotencyRecord {
    enum class State {
        Acquired, // granted to one request that has not ended
        Completed, // the request ran; its answer had this status
        Released, // the request is known not to have run; the key may be acquired again
        Unknown, // the request may have run
        Fenced, // promised to another coordinator; not granted here under this or an older configuration
    };

    State state { State::Acquired };
    PeerIdentity holder; // of the request that acquired or released the key
    std::uint64_t request { 0 };
    std::uint64_t fingerprint { 0 };
    unsigned status { 0 }; // HTTP status when completed
    std::uint64_t fencedVersion { 0 }; // newest configuration under which another coordinator asked
    std::chrono::steady_clock::time_point touched;
};

// The idempotency keys for which this host answered a question, in memory.
class IdempotencyRecords {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // A host that stores more keys than this grants no further ones.
    static constexpr std::size_t capacity = 200000;

    IdempotencyRecord* find(const std::string& service, const std::string& key);

    // Adds or replaces; null when the capacity is reached.
    IdempotencyRecord* put(TimePoint, const std::string& service, const std::string& key, const IdempotencyRecord&);

    // The requests of the holder's earlier incarnations can no longer report their end.
    void holderRestarted(TimePoint, const PeerIdentity& current);

    // Drops records that were not touched for the retention. Acquired ones become unknown first, and fenced ones stay
    // while the configuration in force is not newer than the one under which they were fenced.
    void expire(TimePoint, std::chrono::milliseconds retention, std::uint64_t versionInForce);

    std::size_t size() const { return this->records.size(); }

    // By service and key.
    const std::map<std::pair<std::string, std::string>, IdempotencyRecord>& entries() const { return this->records; }

private:
    std::map<std::pair<std::string, std::string>, IdempotencyRecord> records;
};

}
