#pragma once

#include "protocol/Endpoint.h"
#include "transport/TcpEvent.h"
#include "transport/TcpFlowPhase.h"
#include "transport/TcpFlowState.h"
#include "transport/TcpFlowSummary.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace chicoryferry {

// Terminates TCP in user space with lwIP, for any number of local addresses. IPv4 packets go in through input() and
// come out through the output handler; nothing touches the kernel's TCP. lwIP keeps global state, so all stacks of a
// process must be used from one thread. Local and remote addresses must lie outside 127.0.0.0/8, which lwIP loops
// back.
class TcpStack {
public:
    // Receives each packet to be sent; the bytes are valid during the call only. It must not call the stack.
    using OutputHandler = std::function<void(std::span<const std::uint8_t> packet)>;
    // Receives events from input() and poll() only, never from inside another call, and may call any other function.
    using EventHandler = std::function<void(const TcpEvent&)>;

    // MTU of the inner packets in bytes; leaves room for the envelope within an outer MTU of 1,500 bytes.
    static constexpr std::uint16_t maximumPacketBytes = 1360;

    TcpStack(OutputHandler, EventHandler);
    // Drops every connection without sending a packet.
    ~TcpStack();
    TcpStack(const TcpStack&) = delete;
    TcpStack& operator=(const TcpStack&) = delete;

    // Accepts connections to the endpoint. Idempotent.
    void listen(const Endpoint& local);
    // Accepts no further connections to the endpoint; established ones stay.
    void stopListening(const Endpoint& local);

    // Starts a connection from the given endpoint and returns its identifier; TcpConnected or TcpEnded follows. Throws
    // UserError when the pair of endpoints is in use.
    std::uint64_t connect(const Endpoint& local, const Endpoint& remote);

    // Processes one IPv4 packet and delivers the events that it causes. Invalid packets are ignored.
    void input(std::span<const std::uint8_t> packet);

    // Runs the timers that are due and delivers events. Call it when nextTimeout() has passed.
    void poll();
    std::chrono::milliseconds nextTimeout() const;

    // Bytes received and not consumed, at most 64 KiB; valid until the next call. Only consume() reopens the
    // receive window, so that unread bytes slow the peer down (flow control).
    std::string_view readable(std::uint64_t connection) const;
    void consume(std::uint64_t connection, std::size_t bytes);

    // Queues as many bytes as fit into the send buffer (64 KiB) and returns their number; TcpWritable follows when
    // there is room again. Zero for an unknown connection.
    std::size_t write(std::uint64_t connection, std::string_view);

    // Bytes written and not yet acknowledged by the peer.
    std::size_t unacknowledged(std::uint64_t connection) const;

    // Sends the bytes written and then FIN. Bytes that arrive later are discarded and not answered by a reset, so that
    // the peer can read the last bytes. The identifier is no longer valid; no event follows.
    void close(std::uint64_t connection);

    // Sends a reset. The identifier is no longer valid; no event follows.
    void abort(std::uint64_t connection);

    // Sends a reset from local to remote for a packet whose flow is not held. sequence and acknowledgement: the values
    // to send.
    void sendReset(
        const Endpoint& local, const Endpoint& remote, std::uint32_t sequence, std::uint32_t acknowledgement);

    // The phase of a flow; nothing when it is not held.
    std::optional<TcpFlowPhase> phaseOf(const Endpoint& local, const Endpoint& remote) const;

    // The acknowledgement number that completes the handshake of a half-open flow.
    std::optional<std::uint32_t> halfOpenAcknowledgement(const Endpoint& local, const Endpoint& remote) const;

    // Removes a flow without sending a packet or an event; an open connection's identifier is no longer valid. Returns
    // false when the flow is not held.
    bool removeSilently(const Endpoint& local, const Endpoint& remote);

    // The flow of an open connection; nothing for an unknown one.
    std::optional<TcpFlowSummary> flowOf(std::uint64_t connection) const;

    // The state from which another stack can continue the connection; nothing while bytes are in flight or out of
    // order, or a side has closed. An acknowledgement that is due is sent first.
    std::optional<TcpFlowState> exportState(std::uint64_t connection);

    // Continues a flow of another stack and returns the connection's identifier; nothing when the flow is held. Sends
    // no packet. Bytes that the other stack's user had not read are readable at once, without an event.
    std::optional<std::uint64_t> importFlow(const Endpoint& local, const Endpoint& remote, const TcpFlowState&);

    // Every flow held, those of closed connections and in TIME-WAIT included.
    std::vector<TcpFlowSummary> flows() const;

    // Connections whose identifier is valid.
    std::size_t connectionCount() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation;
};

}
