#pragma once

#include "coordination/HeldVersions.h"
#include "protocol/DocumentKind.h"
#include "protocol/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

namespace chicoryferry {

// Send a Subscribe that states the versions held here.
struct SendSubscribe {
    Endpoint peer;
    std::uint64_t sequence { 0 };
    bool once { false }; // request one answer, without becoming a subscriber
    bool wholeConfiguration { false };
    bool wholeInstances { false };
};

// Send the documents of which the receiver holds an older version, and the configuration history if it lacks it.
struct SendUpdate {
    Endpoint peer;
    std::uint64_t sequence { 0 };
    HeldVersions receiver; // versions that the receiver holds; 0: send the whole document
    bool wholeHistory { false };
};

struct SendConfirm {
    Endpoint peer;
    std::uint64_t sequence { 0 };
};

// Request from the platform a document with a version greater than `after`, waiting up to `wait` for one to appear. At
// most one request per kind is in flight.
struct QueryPlatform {
    DocumentKind kind { DocumentKind::Configuration };
    std::uint64_t after { 0 };
    std::chrono::seconds wait { 0 };
};

// An event that is counted in the metrics.
enum class DistributionEvent {
    ParentSilent, // the parent did not answer within the silence limit
    ParentStale, // the own confirmation is stale and another peer than the parent has a newer one
    NoPeerAnswers,
    UpdateRepeated,
    WholeDocumentRequested,
    TooManySubscribers,
    UnknownSequence, // a report that answers no known Subscribe
    VersionConflict, // a peer holds the same configuration version with another hash
    PlatformStale, // the platform returned a document that is not newer than the one held
};

struct CountDistributionEvent {
    DistributionEvent event { DistributionEvent::ParentSilent };
};

using DistributionAction = std::variant<SendSubscribe, SendUpdate, SendConfirm, QueryPlatform, CountDistributionEvent>;
using DistributionActions = std::vector<DistributionAction>;

}
