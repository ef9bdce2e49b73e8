#pragma once

#include "coordination/PeerIdentity.h"
#include "coordination/PeerTable.h"
#include "coordination/PlacementAction.h"

#include <memory>
#include <string>

namespace chicoryferry {

class ConfigurationView;
class Metrics;

// State shared by the holder's side and the host's side of placement.
struct PlacementContext {
    PeerIdentity self;
    Metrics& metrics;
    std::shared_ptr<const ConfigurationView> view; // null until the first view is installed
    std::string localService; // the service of the local host; empty if it has none
    PeerTable peers;
    PlacementActions actions; // accumulated during the current call

    // Queues a message for the peer and returns it to be filled in. The reference is valid until the next action is
    // added.
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
