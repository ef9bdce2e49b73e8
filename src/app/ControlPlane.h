#pragma once

#include "protocol/Endpoint.h"

#include <chrono>
#include <memory>
#include <optional>

namespace chicoryferry {

namespace wire {
class PeerMessage;
}

class ConfigurationView;
class Logger;
class Metrics;
class Wakeup;
struct Settings;

// The control side of a process: it keeps the configuration in force through the distribution tree, watches the
// platform while this process is a reader, and carries messages between agents. It runs threads of its own; the
// data thread calls the functions below.
class ControlPlane {
public:
    // dataWakeup is notified when a new view or a message for the data thread is waiting. All references must outlive
    // this object.
    ControlPlane(const Settings&, Logger&, Metrics&, Wakeup& dataWakeup);
    ~ControlPlane();
    ControlPlane(const ControlPlane&) = delete;
    ControlPlane& operator=(const ControlPlane&) = delete;

    // Binds the peer address and starts the threads. Throws UserError when the address cannot be bound.
    void start();

    // Stops and joins the threads. Idempotent.
    void stop();

    // The bound peer address; valid after start().
    Endpoint peerAddress() const;

    // The view in force; null until the first configuration and instance list are in force.
    std::shared_ptr<const ConfigurationView> view() const;

    // Age of the newest confirmation, direct or relayed, that the view was current at the platform.
    std::chrono::milliseconds confirmationAge() const;

    // True when every configuration version of the last retention period is in the view's history.
    bool historyComplete() const;

    // The next message from another agent, without those that concern distribution.
    std::optional<wire::PeerMessage> receive();

    // Queues a message for the peer address; the sender field is filled in. Returns false, and counts a drop, when the
    // ring is full. Delivery is not assured.
    bool send(const Endpoint& peer, wire::PeerMessage);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
