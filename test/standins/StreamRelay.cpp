#include "StreamRelay.h"

#include "Sockets.h"
#include "support/UserError.h"

#include <array>
#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chicoryferry::standins {

namespace {

constexpr std::size_t readBytes = 65536;

}

StreamRelay::StreamRelay(StandinLoop& loopToUse, ProxyRules& rulesToUse, std::string relayName,
    const Endpoint& targetAddress, bool splitIntoMessages)
    : loop(loopToUse)
    , rules(rulesToUse)
    , name(std::move(relayName))
    , target(targetAddress)
    , splitMessages(splitIntoMessages)
    , listener(openTcpListener(parseEndpoint("127.0.0.1:0")))
{
    this->loop.events().add(this->listener, EPOLLIN, [this](std::uint32_t) { this->acceptWaiting(); });
}

StreamRelay::~StreamRelay()
{
    this->loop.events().remove(this->listener);
    ::close(this->listener);
    while (!this->connections.empty()) {
        this->close(this->connections.begin()->second);
    }
}

Endpoint StreamRelay::address() const { return boundAddress(this->listener); }

void StreamRelay::acceptWaiting()
{
    for (int accepted = acceptConnection(this->listener); accepted >= 0; accepted = acceptConnection(this->listener)) {
        auto connection = std::make_shared<Connection>();
        connection->source.descriptor = accepted;
        try {
            connection->target.descriptor = startTcpConnect(this->target);
        } catch (const UserError&) {
            closeWithReset(accepted);
            continue;
        }
        this->connections.emplace(connection.get(), connection);
        this->watchSide(connection, true);
        this->watchSide(connection, false);
    }
}

void StreamRelay::watchSide(const ConnectionPointer& connection, bool fromSource)
{
    const Side& side = fromSource ? connection->source : connection->target;
    this->loop.events().add(side.descriptor, EPOLLIN,
        [this, connection, fromSource](std::uint32_t events) { this->handleEvents(connection, fromSource, events); });
}

void StreamRelay::handleEvents(const ConnectionPointer& connection, bool fromSource, std::uint32_t events)
{
    if (connection->closed) {
        return;
    }
    if ((events & (EPOLLERR | EPOLLHUP)) != 0) {
        this->close(connection);
        return;
    }
    if ((events & EPOLLOUT) != 0) {
        this->writeSide(connection, !fromSource);
    }
    if (!connection->closed && (events & EPOLLIN) != 0) {
        this->readSide(connection, fromSource);
    }
}

void StreamRelay::readSide(const ConnectionPointer& connection, bool fromSource)
{
    Side& side = fromSource ? connection->source : connection->target;
    std::array<char, readBytes> buffer {};
    const ssize_t count = recv(side.descriptor, buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    if (count <= 0) {
        this->close(connection);
        return;
    }
    if (!this->splitMessages || !fromSource) {
        const std::string bytes(buffer.data(), static_cast<std::size_t>(count));
        this->forward(connection, fromSource, bytes, ProxiedItem { connection->sender, this->name, "", !fromSource });
        return;
    }
    connection->frames.append(buffer.data(), static_cast<std::size_t>(count));
    for (auto frame = connection->frames.next(); frame; frame = connection->frames.next()) {
        if (!frame->from.empty()) {
            connection->sender = frame->from;
        }
        this->forward(
            connection, true, frame->bytes, ProxiedItem { connection->sender, this->name, frame->kind, false });
    }
}

void StreamRelay::forward(
    const ConnectionPointer& connection, bool toTarget, const std::string& bytes, const ProxiedItem& item)
{
    for (const ProxyRules::Duration delay : this->rules.decide(item)) {
        const auto deliver = [this, connection, toTarget, bytes] {
            if (!connection->closed) {
                (toTarget ? connection->target : connection->source).output += bytes;
                this->writeSide(connection, toTarget);
            }
        };
        if (delay.count() == 0) {
            deliver();
        } else {
            this->loop.schedule(std::chrono::steady_clock::now() + delay, deliver);
        }
    }
}

void StreamRelay::writeSide(const ConnectionPointer& connection, bool toTarget)
{
    Side& side = toTarget ? connection->target : connection->source;
    if (!side.output.empty()) {
        const ssize_t count = send(side.descriptor, side.output.data(), side.output.size(), MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN && errno != ENOTCONN) {
            this->close(connection);
            return;
        }
        side.output.erase(0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
    this->loop.events().modify(side.descriptor, EPOLLIN | (side.output.empty() ? 0U : EPOLLOUT));
}

void StreamRelay::close(ConnectionPointer connection)
{
    if (connection->closed) {
        return;
    }
    connection->closed = true;
    for (const Side* side : { &connection->source, &connection->target }) {
        this->loop.events().remove(side->descriptor);
        closeWithReset(side->descriptor);
    }
    this->connections.erase(connection.get());
    connection.reset();
}

}
