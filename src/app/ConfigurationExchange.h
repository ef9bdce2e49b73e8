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

// Joins the store and the distribution node: turns messages and platform answers into documents in force, and the
// node's decisions into messages. No socket, clock or thread, so that tests drive it with explicit times.
class ConfigurationExchange {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    struct Message {
        Endpoint peer;
        wire::PeerMessage message; // without a sender
    };

    using Output = std::variant<Message, AskPlatform>;
    using Outputs = std::vector<Output>;

    // ownPeerAddress: where peers reach this process. seedPeers: asked until an instance list is known. The references
    // must outlive this object.
    ConfigurationExchange(const std::string& instance, const std::string& availabilityZone,
        const Endpoint& ownPeerAddress, std::vector<Endpoint> seedPeers, Logger&, Metrics&);

    // Takes Subscribe, Update and Confirm. Returns nothing for any other message, which is not for this class.
    std::optional<Outputs> messageReceived(TimePoint, const wire::PeerMessage&);

    Outputs platformAnswered(TimePoint, const PlatformQuestion&, DocumentKind, const PlatformReport&);

    // Call at least every 250 ms.
    Outputs tick(TimePoint);

    // The view to put in force; null until this process has joined.
    std::shared_ptr<const ConfigurationView> view() const;

    const ConfigurationStore& store() const { return this->documents; }
    const DistributionNode& node() const { return this->distribution; }

private:
    void take(TimePoint, DocumentKind, const StoreResult&, const std::string& peer);
    void takeTransfer(TimePoint, DocumentKind, const wire::Document&, const std::string& peer, Outputs&);
    void updateReceived(TimePoint, const wire::Update&, const std::string& peer, Outputs&);
    void adoptHistory(TimePoint, const wire::Update&);
    void refreshHeld(TimePoint, Outputs&);
    HeldVersions heldVersions(TimePoint) const;
    std::optional<std::chrono::milliseconds> confirmationAge(TimePoint) const;
    void perform(TimePoint, const DistributionActions&, Outputs&);
    void count(DistributionIncident);

    Endpoint ownPeerAddress;
    Logger& logger;
    Metrics& metrics;
    ConfigurationStore documents;
    DistributionNode distribution;
};

}
