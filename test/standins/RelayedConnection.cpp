#include "RelayedConnection.h"

#include "Sockets.h"
#include "support/InternalError.h"
#include "transport/EventLoop.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

extern "C" {
#include <lwip/tcp.h>
}

namespace chicoryferry::standins {

namespace {

constexpr std::size_t readChunkBytes = 16384;

}

RelayedConnection::RelayedConnection(
    EventLoop& loopToUse, int accepted, std::uint32_t caller, const Endpoint& service, EndHandler onEndToUse)
    : loop(loopToUse)
    , descriptor(accepted)
    , onEnd(std::move(onEndToUse))
{
    this->controlBlock = tcp_new();
    internalAssert(this->controlBlock != nullptr, "open connection", "lwIP could not allocate a control block");
    ip_addr_t own = IPADDR4_INIT(htonl(caller));
    const ip_addr_t remote = IPADDR4_INIT(htonl(service.address));
    tcp_arg(this->controlBlock, this);
    tcp_recv(this->controlBlock, &RelayedConnection::onReceived);
    tcp_sent(this->controlBlock, &RelayedConnection::onSent);
    tcp_err(this->controlBlock, &RelayedConnection::onError);
    tcp_nagle_disable(this->controlBlock);
    internalAssert(
        tcp_bind(this->controlBlock, &own, 0) == ERR_OK, "open connection", "no free port at the caller address");
    tcp_connect(this->controlBlock, &remote, service.port, &RelayedConnection::onConnected);
    this->loop.add(this->descriptor, 0, [this](std::uint32_t events) { this->descriptorReady(events); });
}

RelayedConnection::~RelayedConnection()
{
    if (this->controlBlock != nullptr) {
        this->abortService();
    }
    if (!this->ended) {
        this->loop.remove(this->descriptor);
    }
    if (this->endReason == ConnectionEnd::Closed) {
        close(this->descriptor);
    } else {
        closeWithReset(this->descriptor);
    }
}

std::uint16_t RelayedConnection::callerPort() const
{
    return this->controlBlock == nullptr ? 0 : this->controlBlock->local_port;
}

err_t RelayedConnection::onConnected(void* self, tcp_pcb*, err_t)
{
    auto* connection = static_cast<RelayedConnection*>(self);
    connection->connected = true;
    connection->updateWatchedEvents();
    return ERR_OK;
}

err_t RelayedConnection::onReceived(void* self, tcp_pcb*, pbuf* packet, err_t)
{
    auto* connection = static_cast<RelayedConnection*>(self);
    if (packet == nullptr) {
        connection->serviceInputEnded = true;
    } else {
        const std::size_t before = connection->toClient.size();
        connection->toClient.resize(before + packet->tot_len);
        pbuf_copy_partial(packet, connection->toClient.data() + before, packet->tot_len, 0);
        pbuf_free(packet);
    }
    // lwIP requires ERR_ABRT when the callback has aborted the control block.
    return connection->writeToClient() ? ERR_OK : ERR_ABRT;
}

err_t RelayedConnection::onSent(void* self, tcp_pcb*, std::uint16_t)
{
    static_cast<RelayedConnection*>(self)->updateWatchedEvents();
    return ERR_OK;
}

void RelayedConnection::onError(void* self, err_t error) { static_cast<RelayedConnection*>(self)->serviceError(error); }

void RelayedConnection::serviceError(err_t error)
{
    this->controlBlock = nullptr;
    this->end(error == ERR_CLSD ? ConnectionEnd::Closed : ConnectionEnd::ResetByService);
}

void RelayedConnection::descriptorReady(std::uint32_t events)
{
    if ((events & EPOLLERR) != 0 || ((events & EPOLLHUP) != 0 && (events & EPOLLIN) == 0)) {
        this->abortService();
        this->end(ConnectionEnd::ResetByClient);
        return;
    }
    if ((events & EPOLLOUT) != 0 && !this->writeToClient()) {
        return;
    }
    if ((events & EPOLLIN) != 0) {
        this->readFromClient();
    }
}

void RelayedConnection::readFromClient()
{
    if (!this->connected || this->clientInputEnded) {
        return;
    }
    std::array<char, readChunkBytes> buffer {};
    const std::size_t room = std::min<std::size_t>(buffer.size(), tcp_sndbuf(this->controlBlock));
    if (room == 0 || tcp_sndqueuelen(this->controlBlock) >= TCP_SND_QUEUELEN / 2) {
        this->updateWatchedEvents();
        return;
    }
    const ssize_t count = recv(this->descriptor, buffer.data(), room, 0);
    if (count < 0) {
        if (errno != EAGAIN && errno != EINTR) {
            this->abortService();
            this->end(ConnectionEnd::ResetByClient);
        }
        return;
    }
    if (count == 0) {
        this->clientInputEnded = true;
        tcp_shutdown(this->controlBlock, 0, 1);
        this->finishWhenBothClosed();
        return;
    }
    const err_t written
        = tcp_write(this->controlBlock, buffer.data(), static_cast<std::uint16_t>(count), TCP_WRITE_FLAG_COPY);
    internalAssert(written == ERR_OK, "send to service", "lwIP rejected a write that fits into its send buffer");
    tcp_output(this->controlBlock);
    this->updateWatchedEvents();
}

bool RelayedConnection::writeToClient()
{
    std::size_t taken = 0;
    while (this->toClientOffset < this->toClient.size()) {
        const ssize_t count = send(this->descriptor, this->toClient.data() + this->toClientOffset,
            this->toClient.size() - this->toClientOffset, MSG_NOSIGNAL);
        if (count < 0) {
            if (errno == EAGAIN) {
                break;
            }
            this->abortService();
            this->end(ConnectionEnd::ResetByClient);
            return false;
        }
        this->toClientOffset += static_cast<std::size_t>(count);
        taken += static_cast<std::size_t>(count);
    }
    const bool empty = this->toClientOffset == this->toClient.size();
    if (empty) {
        this->toClient.clear();
        this->toClientOffset = 0;
    }
    for (; taken > 0; taken -= std::min<std::size_t>(taken, 0xFFFF)) {
        tcp_recved(this->controlBlock, static_cast<std::uint16_t>(std::min<std::size_t>(taken, 0xFFFF)));
    }
    if (empty && this->serviceInputEnded && !this->serviceEndForwarded) {
        this->serviceEndForwarded = true;
        shutdown(this->descriptor, SHUT_WR);
    }
    this->updateWatchedEvents();
    if (this->clientInputEnded && this->serviceEndForwarded) {
        this->finishWhenBothClosed();
    }
    return true;
}

void RelayedConnection::updateWatchedEvents()
{
    if (this->ended || this->controlBlock == nullptr) {
        return;
    }
    std::uint32_t wanted = 0;
    const bool room = tcp_sndbuf(this->controlBlock) > 0 && tcp_sndqueuelen(this->controlBlock) < TCP_SND_QUEUELEN / 2;
    if (this->connected && !this->clientInputEnded && room) {
        wanted |= EPOLLIN;
    }
    if (this->toClientOffset < this->toClient.size()) {
        wanted |= EPOLLOUT;
    }
    if (wanted != this->watchedEvents) {
        this->watchedEvents = wanted;
        this->loop.modify(this->descriptor, wanted);
    }
}

void RelayedConnection::finishWhenBothClosed()
{
    if (!this->clientInputEnded || !this->serviceEndForwarded) {
        this->updateWatchedEvents();
        return;
    }
    this->detachControlBlock();
    this->end(ConnectionEnd::Closed);
}

// Releases the control block without aborting it; lwIP completes the exchange of FIN and ACK on its own.
void RelayedConnection::detachControlBlock()
{
    tcp_arg(this->controlBlock, nullptr);
    tcp_recv(this->controlBlock, nullptr);
    tcp_sent(this->controlBlock, nullptr);
    tcp_err(this->controlBlock, nullptr);
    this->controlBlock = nullptr;
}

void RelayedConnection::abortService()
{
    tcp_pcb* aborted = this->controlBlock;
    if (aborted == nullptr) {
        return;
    }
    this->detachControlBlock();
    tcp_abort(aborted);
}

void RelayedConnection::end(ConnectionEnd reason)
{
    this->loop.remove(this->descriptor);
    this->ended = true;
    this->endReason = reason;
    this->onEnd(*this, reason);
}

}
