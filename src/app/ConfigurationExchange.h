#pragma once

#include "app/PlatformWatch.h"
#include "coordination/DistributionNode.h"
#include "messages.pb.h"
#include "protocol/Endpoint.h"
#include "state/ConfigurationStore.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace chicoryferry {

class ConfigurationView;
class Logger;
class Metrics;

// Connects the configuration store with the distribution node: stores the documents from peer messages and platform
// answers, and turns the node's decisions into messages and platform queries. Uses no socket, clock or thread, so that
// tests can drive it with explicit times.
class ConfigurationExchange {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Message {
        Endpoint peer;
        wire::PeerMessage message; // sender not set
    };

    using Output = std::variant<Message, QueryPlatform>;
    using Outputs = std::vector<Output>;

    // ownPeerAddress: address at which peers reach this process. seedPeers: peers to ask for configuration until an
    // instance list is known. The logger and the metrics must outlive this object.
    ConfigurationExchange(const std::string& instance, const std::string& availabilityZone,
        const Endpoint& ownPeerAddress, std::vector<Endpoint> seedPeers, Logger&, Metrics&);

    // Handles Subscribe, Update and Confirm. Returns nullopt for any other message, which this class does not handle.
    std::optional<Outputs> messageReceived(TimePoint, const wire::PeerMessage&);

    Outputs platformAnswered(TimePoint, const PlatformQuery&, DocumentKind, const PlatformReport&);

    // Call at least every 250 ms.
    Outputs tick(TimePoint);

    // The view to apply; null until this process has joined the distribution tree.
    std::shared_ptr<const ConfigurationView> view() const;

    const ConfigurationStore& store() const { return this->documents; }
    const DistributionNode& node() const { return this->distribution; }

private:
    void handleStoreResult(TimePoint, DocumentKind, const StoreResult&, const std::string& peer);
    void applyTransfer(TimePoint, DocumentKind, const wire::Document&, const std::string& peer, Outputs&);
    void updateReceived(TimePoint, const wire::Update&, const std::string& peer, Outputs&);
    void adoptHistory(TimePoint, const wire::Update&);
    void updateHeldVersions(TimePoint, Outputs&);
    HeldVersions heldVersions(TimePoint) const;
    std::optional<std::chrono::milliseconds> confirmationAge(TimePoint) const;
    void perform(TimePoint, const DistributionActions&, Outputs&);
    void count(DistributionEvent);

    Endpoint ownPeerAddress;
    Logger& logger;
    Metrics& metrics;
    ConfigurationStore documents;
    DistributionNode distribution;
};

}
