#pragma once

#include "coordination/PeerIdentity.h"
#include "coordination/PeerTable.h"
#include "coordination/PlacementAction.h"

#include <memory>
#include <string>

namespace chicoryferry {

class ConfigurationView;
class Metrics;

// What the holder's and the host's side of placement have in common.
struct PlacementContext {
    PeerIdentity self;
    Metrics& metrics;
    std::shared_ptr<const ConfigurationView> view; // null before the first
    std::string ownService; // the service that the own host serves; empty: none
    PeerTable peers;
    PlacementActions actions; // of the call in progress

    // Adds a message for the peer; the reference is valid until the next action is added.
    wire::PeerMessage& send(const PeerIdentity& peer)
    {
        this->actions.emplace_back(SendToPeer { peer, {} });
        wire::PeerMessage& message = std::get<SendToPeer>(this->actions.back()).message;
        message.mutable_sender()->set_instance(this->self.instance);
        message.mutable_sender()->set_incarnation(this->self.incarnation);
        return message;
    }
};

}
