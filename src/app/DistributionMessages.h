#pragma once

#include "coordination/DistributionAction.h"
#include "coordination/DistributionNode.h"
#include "messages.pb.h"
#include "state/ConfigurationStore.h"

#include <chrono>
#include <optional>

namespace chicoryferry {

// Conversions between the wire messages of configuration distribution and the types of DistributionNode and
// ConfigurationStore.

wire::PeerMessage makeSubscribe(const SendSubscribe&, const HeldVersions&, const Endpoint& ownPeerAddress);

// confirmationAge: time since the platform last confirmed the configuration held here; nullopt when it never did.
wire::PeerMessage makeConfirm(
    const SendConfirm&, const HeldVersions&, std::optional<std::chrono::milliseconds> confirmationAge);
wire::PeerMessage makeUpdate(const SendUpdate&, const HeldVersions&,
    std::optional<std::chrono::milliseconds> confirmationAge, const ConfigurationStore&,
    ConfigurationStore::TimePoint now);

// Returns nullopt when the peer address is not an IPv4 endpoint.
std::optional<DistributionNode::Subscription> readSubscribe(const wire::Subscribe&);

DistributionNode::PeerReport readConfirm(const wire::Confirm&);
DistributionNode::PeerReport readUpdateReport(const wire::Update&);
DocumentTransfer readDocument(const wire::Document&);

// Skips entries that are not valid configuration documents.
std::vector<HistoryRecord> readHistory(const wire::Update&, ConfigurationStore::TimePoint now);

}
