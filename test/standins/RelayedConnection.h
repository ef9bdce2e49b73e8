#pragma once

#include "protocol/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

extern "C" {
#include <lwip/err.h>
}

struct pbuf;
struct tcp_pcb;

namespace chicoryferry {

class EventLoop;

}

namespace chicoryferry::standins {

// How a relayed connection ended.
enum class ConnectionEnd {
    Closed, // by both sides
    ResetByService,
    ResetByClient,
};

// Joins an accepted loopback connection with a connection from a caller address to a service. Half-close, reset and
// back pressure are propagated in both directions.
class RelayedConnection {
public:
    using EndHandler = std::function<void(RelayedConnection&, ConnectionEnd)>;

    // Takes ownership of the descriptor and starts to connect. The descriptor is closed when this object is deleted, so
    // that its number is not reused in the same iteration of the loop. The end handler must not delete this object.
    RelayedConnection(EventLoop&, int descriptor, std::uint32_t caller, const Endpoint& service, EndHandler);
    ~RelayedConnection();
    RelayedConnection(const RelayedConnection&) = delete;
    RelayedConnection& operator=(const RelayedConnection&) = delete;

    // The port that the caller's side uses; 0 once the connection has ended.
    std::uint16_t callerPort() const;

private:
    static err_t onConnected(void* self, tcp_pcb*, err_t);
    static err_t onReceived(void* self, tcp_pcb*, pbuf*, err_t);
    static err_t onSent(void* self, tcp_pcb*, std::uint16_t);
    static void onError(void* self, err_t);

    void descriptorReady(std::uint32_t events);
    void readFromClient();
    bool writeToClient();
    void updateWatchedEvents();
    void finishWhenBothClosed();
    void abortService();
    void end(ConnectionEnd);
    void detachControlBlock();
    void serviceError(err_t);

    EventLoop& loop;
    int descriptor;
    tcp_pcb* controlBlock { nullptr };
    EndHandler onEnd;
    std::string toClient; // bytes that the client's socket has not accepted yet
    std::size_t toClientOffset { 0 };
    bool connected { false };
    bool clientInputEnded { false };
    bool serviceInputEnded { false };
    bool serviceEndForwarded { false };
    bool ended { false };
    ConnectionEnd endReason { ConnectionEnd::ResetByClient };
    std::uint32_t watchedEvents { 0 };
};

}
