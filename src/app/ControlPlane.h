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

// The control plane of a process: it keeps the configuration current through the distribution tree, polls the platform
// while this process is a reader (a process that queries the platform itself), and exchanges messages with other
// agents. It runs threads of its own; the data thread calls the functions below.
class ControlPlane {
public:
    // Notifies dataWakeup when a new view or a message for the data thread is available. All references must outlive
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

    // The current view; null until a first configuration and a first instance list have been received.
    std::shared_ptr<const ConfigurationView> view() const;

    // Age of the latest confirmation, direct or relayed, that the view matched the state of the platform.
    std::chrono::milliseconds confirmationAge() const;

    // True when the view's history contains every configuration version of the last retention period.
    bool historyComplete() const;

    // The next message from another agent. Messages of configuration distribution are handled internally.
    std::optional<wire::PeerMessage> receive();

    // Queues a message for the peer address; the sender field is filled in. Returns false, and counts a drop, when the
    // queue is full. Delivery is not guaranteed.
    bool send(const Endpoint& peer, wire::PeerMessage);

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
