#pragma once

#include "coordination/HeldVersions.h"
#include "protocol/DocumentKind.h"
#include "protocol/Endpoint.h"

#include <chrono>
#include <cstdint>
#include <variant>
#include <vector>

namespace chicoryferry {

// Send a Subscribe with the versions held here.
struct SendSubscribe {
    Endpoint peer;
    std::uint64_t sequence { 0 };
    bool once { false };
    bool wholeConfiguration { false };
    bool wholeInstances { false };
};

// Send the documents of which the receiver holds older versions, and the history that it lacks.
struct SendUpdate {
    Endpoint peer;
    std::uint64_t sequence { 0 };
    HeldVersions receiver; // version 0: send the whole document
    bool wholeHistory { false };
};

struct SendConfirm {
    Endpoint peer;
    std::uint64_t sequence { 0 };
};

// Ask the platform for a document with a version above `after`. One question for each kind is under way at most.
struct AskPlatform {
    DocumentKind kind { DocumentKind::Configuration };
    std::uint64_t after { 0 };
    std::chrono::seconds wait { 0 };
};

// Something that operators count.
enum class DistributionIncident {
    ParentSilent,
    ParentStale,
    NoPeerAnswers,
    UpdateRepeated,
    WholeDocumentWanted,
    TooManySubscribers,
    UnknownSequence,
    VersionConflict,
    PlatformStale,
};

struct CountIncident {
    DistributionIncident incident { DistributionIncident::ParentSilent };
};

using DistributionAction = std::variant<SendSubscribe, SendUpdate, SendConfirm, AskPlatform, CountIncident>;
using DistributionActions = std::vector<DistributionAction>;

}
