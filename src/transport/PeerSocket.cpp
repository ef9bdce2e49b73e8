#include "transport/PeerSocket.h"

#include "support/InternalError.h"
#include "support/Metrics.h"
#include "support/UserError.h"

#include <deque>
#include <fmt/format.h>
#include <map>
#include <string>
#include <vector>
#include <zmq.hpp>

namespace chicoryferry {

namespace {

// Messages that ZeroMQ queues for one connected peer, and from all peers together.
constexpr int sendQueueMessages = 1000;
constexpr int receiveQueueMessages = 10000;

// Messages held here for one peer while it is not connected or its ZeroMQ queue is full, and for how long: after that
// they would be outdated.
constexpr std::size_t pendingMessages = 64;
constexpr std::chrono::milliseconds pendingLifetime { 500 };

constexpr std::chrono::seconds idleLifetime { 30 };
constexpr std::size_t maximumConnections = 1000;

// Larger than the largest document with its history.
constexpr std::int64_t maximumMessageBytes = 32'000'000;

constexpr int reconnectIntervalMs = 100;
constexpr int maximumReconnectIntervalMs = 1000;

// Lets ZeroMQ replace a connection that no longer carries data although a new one would work.
constexpr int heartbeatIntervalMs = 2000;
constexpr int heartbeatTimeoutMs = 4000;

std::string tcpAddress(const Endpoint& endpoint) { return "tcp://" + formatEndpoint(endpoint); }

}

class PeerSocket::Implementation {
public:
    Implementation(const Endpoint& listen, Metrics& metrics)
        : context(1)
        , receiver(this->context, zmq::socket_type::router)
        , malformed(metrics.drops("receive peer message", "malformed"))
        , queueFull(metrics.drops("send peer message", "queue_full"))
        , notConnected(metrics.drops("send peer message", "not_connected"))
        , closedIdle(metrics.events("peer_connection_closed_idle"))
        , evicted(metrics.drops("send peer message", "too_many_connections"))
        , openConnections(metrics.state("peer_connections"))
    {
        zmq_ctx_set(this->context.handle(), ZMQ_MAX_SOCKETS, static_cast<int>(maximumConnections) + 16);
        this->receiver.set(zmq::sockopt::linger, 0);
        this->receiver.set(zmq::sockopt::rcvhwm, receiveQueueMessages);
        this->receiver.set(zmq::sockopt::maxmsgsize, maximumMessageBytes);
        this->receiver.set(zmq::sockopt::heartbeat_ivl, heartbeatIntervalMs);
        this->receiver.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMs);
        try {
            this->receiver.bind(
                listen.port == 0 ? "tcp://" + formatAddress(listen.address) + ":*" : tcpAddress(listen));
        } catch (const zmq::error_t& error) {
            throw UserError("bind peer address", formatEndpoint(listen), error.what());
        }
        const std::string bound = this->receiver.get(zmq::sockopt::last_endpoint);
        this->boundAddress = parseEndpoint(bound.substr(std::string("tcp://").size()));
    }

    const Endpoint& address() const { return this->boundAddress; }
    std::size_t connections() const { return this->peers.size(); }

    void wait(std::chrono::milliseconds timeout, int extraDescriptor)
    {
        std::vector<zmq::pollitem_t> items { { this->receiver.handle(), 0, ZMQ_POLLIN, 0 },
            { nullptr, extraDescriptor, ZMQ_POLLIN, 0 } };
        for (auto& [endpoint, peer] : this->peers) {
            if (!peer.pending.empty()) {
                items.push_back({ peer.socket.handle(), 0, ZMQ_POLLOUT, 0 });
            }
        }
        try {
            zmq::poll(items, timeout);
        } catch (const zmq::error_t& error) {
            internalAssert(error.num() == EINTR, "poll peer sockets", error.what());
        }
    }

    std::optional<wire::PeerMessage> receive()
    {
        while (true) {
            zmq::message_t identity;
            if (!this->receiver.recv(identity, zmq::recv_flags::dontwait)) {
                return std::nullopt;
            }
            zmq::message_t payload;
            int parts = 1;
            bool more = identity.more();
            while (more) {
                std::ignore = this->receiver.recv(payload, zmq::recv_flags::dontwait);
                more = payload.more();
                ++parts;
            }
            wire::PeerMessage message;
            if (parts == 2 && message.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
                return message;
            }
            this->malformed.Increment();
        }
    }

    bool send(TimePoint now, const Endpoint& endpoint, const wire::PeerMessage& message)
    {
        Peer& peer = this->peerFor(endpoint);
        peer.lastUsed = now;
        std::string payload = message.SerializeAsString();
        if (peer.pending.empty() && transmit(peer, payload)) {
            peer.connected = true;
            return true;
        }
        if (peer.pending.size() >= pendingMessages) {
            (peer.connected ? this->queueFull : this->notConnected).Increment();
            return false;
        }
        peer.pending.push_back({ now, std::move(payload) });
        return true;
    }

    void maintain(TimePoint now)
    {
        for (auto entry = this->peers.begin(); entry != this->peers.end();) {
            Peer& peer = entry->second;
            this->flush(now, peer);
            if (now - peer.lastUsed >= idleLifetime) {
                entry = this->peers.erase(entry);
                this->closedIdle.Increment();
            } else {
                ++entry;
            }
        }
        this->openConnections.Set(static_cast<double>(this->peers.size()));
    }

private:
    struct Pending {
        TimePoint queued;
        std::string payload;
    };

    struct Peer {
        zmq::socket_t socket;
        std::deque<Pending> pending;
        TimePoint lastUsed;
        bool connected { false };
    };

    static bool transmit(Peer& peer, const std::string& payload)
    {
        return peer.socket.send(zmq::buffer(payload), zmq::send_flags::dontwait).has_value();
    }

    void flush(TimePoint now, Peer& peer)
    {
        while (!peer.pending.empty()) {
            if (now - peer.pending.front().queued >= pendingLifetime) {
                (peer.connected ? this->queueFull : this->notConnected).Increment();
            } else if (transmit(peer, peer.pending.front().payload)) {
                peer.connected = true;
            } else {
                return;
            }
            peer.pending.pop_front();
        }
    }

    Peer& peerFor(const Endpoint& endpoint)
    {
        const auto found = this->peers.find(endpoint);
        if (found != this->peers.end()) {
            return found->second;
        }
        if (this->peers.size() >= maximumConnections) {
            this->evictLeastRecentlyUsed();
        }
        zmq::socket_t socket(this->context, zmq::socket_type::dealer);
        socket.set(zmq::sockopt::linger, 0);
        // Without IMMEDIATE, ZeroMQ queues messages for a dead peer and delivers them, outdated, to the process that
        // takes over its address.
        socket.set(zmq::sockopt::immediate, true);
        socket.set(zmq::sockopt::sndhwm, sendQueueMessages);
        socket.set(zmq::sockopt::reconnect_ivl, reconnectIntervalMs);
        socket.set(zmq::sockopt::reconnect_ivl_max, maximumReconnectIntervalMs);
        socket.set(zmq::sockopt::heartbeat_ivl, heartbeatIntervalMs);
        socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMs);
        socket.connect(tcpAddress(endpoint));
        return this->peers.emplace(endpoint, Peer { std::move(socket), {}, {}, false }).first->second;
    }

    void evictLeastRecentlyUsed()
    {
        auto oldest = this->peers.begin();
        for (auto entry = this->peers.begin(); entry != this->peers.end(); ++entry) {
            if (entry->second.lastUsed < oldest->second.lastUsed) {
                oldest = entry;
            }
        }
        this->peers.erase(oldest);
        this->evicted.Increment();
    }

    zmq::context_t context;
    zmq::socket_t receiver;
    Endpoint boundAddress;
    std::map<Endpoint, Peer> peers;
    prometheus::Counter& malformed;
    prometheus::Counter& queueFull;
    prometheus::Counter& notConnected;
    prometheus::Counter& closedIdle;
    prometheus::Counter& evicted;
    prometheus::Gauge& openConnections;
};

PeerSocket::PeerSocket(const Endpoint& listen, Metrics& metrics)
    : implementation(std::make_unique<Implementation>(listen, metrics))
{
}

PeerSocket::~PeerSocket() = default;

Endpoint PeerSocket::address() const { return this->implementation->address(); }

void PeerSocket::wait(std::chrono::milliseconds timeout, int extraDescriptor)
{
    this->implementation->wait(timeout, extraDescriptor);
}

std::optional<wire::PeerMessage> PeerSocket::receive() { return this->implementation->receive(); }

bool PeerSocket::send(TimePoint now, const Endpoint& peer, const wire::PeerMessage& message)
{
    return this->implementation->send(now, peer, message);
}

void PeerSocket::maintain(TimePoint now) { this->implementation->maintain(now); }

std::size_t PeerSocket::connections() const { return this->implementation->connections(); }

}
