#pragma once

#include "state/RetainedZone.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace chicoryferry {

// The availability zones that the operator has asked to evacuate. Requests may arrive in any order and are ordered by
// the revision of the store.
class EvacuatedZones {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    enum class Effect {
        None,
        Changed,
        RefusedOlder,
    };

    // Handles a change that the store reports.
    Effect change(const std::string& availabilityZone, bool evacuated, std::uint64_t revision);

    // Delimit a listing of all requests. A zone without a listed request is no longer evacuated, unless it has changed
    // after the revision of the listing. What a listing has from the copy (isCopied) takes effect when expire() ends
    // the retention.
    void beginListing() { this->listed.clear(); }
    Effect list(const std::string& availabilityZone, std::uint64_t revision, bool isCopied);
    // Takes over what a peer retains until `end`. Returns whether the evacuated zones have changed.
    bool listRetained(const RetainedZone&, TimePoint end);
    // Returns whether the evacuated zones have changed.
    bool endListing(std::uint64_t revision);

    // The store has come back from an older copy: what it has forgotten stays in force for eraRetention, in which the
    // operator writes it again.
    void beginEra(TimePoint now);

    // Takes over what the store has said since the era began, once the retention has ended. Returns whether the
    // evacuated zones have changed.
    bool expire(TimePoint now);

    // The zones of which an earlier era's request, or its end, is in force, and until when.
    std::vector<RetainedZone> retained() const;
    std::optional<TimePoint> retentionEnd() const { return this->retainedUntil; }

    // Names of the evacuated zones.
    std::set<std::string, std::less<>> names() const;

    // With each evacuated zone, the revision of its request.
    std::map<std::string, std::uint64_t> requests() const;

    // The zones whose requests the store has, with the revisions of the requests.
    std::map<std::string, std::uint64_t> storeRequests() const;

    // Operators write their requests again at once. A request that is in the copy only is in force within 5 s.
    static constexpr std::chrono::seconds eraRetention { 3 };

private:
    struct Zone {
        bool requested { false }; // the store has a request
        std::uint64_t revision { 0 };
        std::optional<bool> retained; // what the era before said, in force in place of `requested`

        bool isEvacuated() const { return this->retained.value_or(this->requested); }
    };

    std::map<std::string, Zone> zones;
    std::set<std::string> listed;
    std::optional<TimePoint> retainedUntil;
};

}
