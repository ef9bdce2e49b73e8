#include "Fleet.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <poll.h>
#include <sstream>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <xxhash.h>

namespace review {

namespace {

constexpr std::size_t headerBytes = 32;

template <typename Number> void put(Bytes& bytes, std::size_t offset, Number value)
{
    for (std::size_t index = 0; index < sizeof(Number); ++index) {
        bytes[offset + index] = static_cast<std::uint8_t>(value >> (8U * index));
    }
}

template <typename Number> Number get(const Bytes& bytes, std::size_t offset)
{
    std::uint64_t value = 0;
    for (std::size_t index = 0; index < sizeof(Number); ++index) {
        value |= static_cast<std::uint64_t>(bytes[offset + index]) << (8U * index);
    }
    return static_cast<Number>(value);
}

sockaddr_in toSocketAddress(const Address& address)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.ip);
    result.sin_port = htons(address.port);
    return result;
}

std::string encodeBase64(const std::string& bytes)
{
    constexpr const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string encoded;
    for (std::size_t index = 0; index < bytes.size(); index += 3) {
        std::uint32_t group = 0;
        for (std::size_t part = 0; part < 3; ++part) {
            group = (group << 8U) | (index + part < bytes.size() ? static_cast<std::uint8_t>(bytes[index + part]) : 0U);
        }
        const std::size_t used = std::min<std::size_t>(3, bytes.size() - index);
        for (std::size_t digit = 0; digit < 4; ++digit) {
            encoded += digit <= used ? digits[(group >> (18U - 6U * digit)) & 63U] : '=';
        }
    }
    return encoded;
}

std::string queryValue(const std::string& target, const std::string& name)
{
    const std::string marker = name + "=";
    std::size_t found = target.find('?');
    while (found != std::string::npos) {
        ++found;
        if (target.compare(found, marker.size(), marker) == 0) {
            const std::size_t begin = found + marker.size();
            return target.substr(begin, target.find('&', begin) - begin);
        }
        found = target.find('&', found);
    }
    return {};
}

[[noreturn]] void giveUp(const std::string& reason)
{
    std::cerr << reason << ": " << std::strerror(errno) << "\n";
    std::exit(2); // the case could not run
}

}

std::string ipText(std::uint32_t ip)
{
    std::ostringstream stream;
    stream << (ip >> 24U) << '.' << ((ip >> 16U) & 255U) << '.' << ((ip >> 8U) & 255U) << '.' << (ip & 255U);
    return stream.str();
}

std::string text(const Address& address) { return ipText(address.ip) + ":" + std::to_string(address.port); }

Bytes Packet::encode() const
{
    Bytes bytes(headerBytes);
    put(bytes, 0, this->sum);
    put(bytes, 4, this->seq);
    put(bytes, 8, this->acknowledged);
    put(bytes, 12, this->destination.port);
    put(bytes, 14, this->destination.ip);
    put(bytes, 18, this->source.ip);
    put(bytes, 22, this->source.port);
    put(bytes, 28, this->flags);
    put(bytes, 30, static_cast<std::uint16_t>(this->payload.size()));
    bytes.insert(bytes.end(), this->payload.begin(), this->payload.end());
    return bytes;
}

bool Packet::decode(const Bytes& bytes, Packet& packet)
{
    if (bytes.size() < headerBytes || get<std::uint16_t>(bytes, 30) != bytes.size() - headerBytes) {
        return false;
    }
    packet.sum = get<std::uint32_t>(bytes, 0);
    packet.seq = get<std::uint32_t>(bytes, 4);
    packet.acknowledged = get<std::uint32_t>(bytes, 8);
    packet.destination = { get<std::uint32_t>(bytes, 14), get<std::uint16_t>(bytes, 12) };
    packet.source = { get<std::uint32_t>(bytes, 18), get<std::uint16_t>(bytes, 22) };
    packet.flags = bytes[28];
    packet.payload.assign(bytes.begin() + headerBytes, bytes.end());
    return true;
}

Milliseconds Loop::now() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - this->start)
        .count();
}

void Loop::watch(int descriptor, short events, std::function<void(short)> action)
{
    this->watched[descriptor] = std::make_shared<Watched>(Watched { events, std::move(action) });
}

void Loop::runUntil(Milliseconds end, const std::function<bool()>& done)
{
    while (this->now() < end && !done()) {
        while (!this->timers.empty() && this->timers.begin()->first <= this->now()) {
            const auto action = std::move(this->timers.begin()->second);
            this->timers.erase(this->timers.begin());
            action();
        }
        std::vector<pollfd> descriptors;
        descriptors.reserve(this->watched.size());
        for (const auto& [descriptor, item] : this->watched) {
            descriptors.push_back({ descriptor, item->events, 0 });
        }
        const Milliseconds next = this->timers.empty() ? end : std::min(end, this->timers.begin()->first);
        const auto timeout = static_cast<int>(std::clamp<Milliseconds>(next - this->now(), 0, 100));
        if (poll(descriptors.data(), descriptors.size(), timeout) <= 0) {
            continue;
        }
        for (const pollfd& ready : descriptors) {
            const auto found = this->watched.find(ready.fd);
            if (ready.revents != 0 && found != this->watched.end()) {
                const auto item = found->second; // the action may remove it
                item->action(ready.revents);
            }
        }
    }
}

void Record::line(const std::string& what) { this->file << this->loop.now() << " ms  " << what << "\n" << std::flush; }

int openUdp(const Address& address)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in bound = toSocketAddress(address);
    if (descriptor < 0 || bind(descriptor, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0) {
        giveUp("bind " + text(address));
    }
    return descriptor;
}

void sendUdp(int descriptor, const Address& to, const Bytes& bytes)
{
    const sockaddr_in address = toSocketAddress(to);
    sendto(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&address),
        sizeof(address));
}

void Store::listen(const Address& address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in bound = toSocketAddress(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr*>(&bound), sizeof(bound)) != 0
        || ::listen(descriptor, 64) != 0) {
        giveUp("listen " + text(address));
    }
    this->doors[address.ip] = Door::Open;
    this->loop.watch(descriptor, POLLIN, [this, descriptor, ip = address.ip](short) { this->accept(descriptor, ip); });
}

void Store::accept(int listener, std::uint32_t ip)
{
    const int descriptor = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
    if (descriptor < 0) {
        return;
    }
    this->connections[descriptor] = std::make_shared<Connection>(Connection { descriptor, ip, {} });
    this->loop.watch(descriptor, POLLIN, [this, descriptor](short) { this->read(descriptor); });
}

void Store::setDoor(std::uint32_t ip, Door door) { this->doors[ip] = door; }

void Store::close(int descriptor)
{
    this->loop.forget(descriptor);
    this->connections.erase(descriptor);
    ::close(descriptor);
}

void Store::read(int descriptor)
{
    const auto connection = this->connections.at(descriptor);
    std::array<char, 4096> buffer {};
    const auto count = recv(descriptor, buffer.data(), buffer.size(), 0);
    if (count <= 0) {
        this->close(descriptor);
        return;
    }
    connection->input.append(buffer.data(), static_cast<std::size_t>(count));
    if (connection->input.find("\r\n\r\n") == std::string::npos || connection->waiting) {
        return;
    }
    constexpr Milliseconds answerMs = 4;
    this->loop.after(answerMs, [this, descriptor, connection] {
        const auto found = this->connections.find(descriptor);
        if (found != this->connections.end() && found->second == connection) {
            this->handle(*connection);
        }
    });
}

void Store::handle(Connection& connection)
{
    if (this->doors.at(connection.door) == Door::Silent || this->away) {
        return;
    }
    const std::size_t begin = connection.input.find(' ') + 1;
    const std::string target = connection.input.substr(begin, connection.input.find(' ', begin) - begin);
    if (target.starts_with("/v1/kv-range")) {
        constexpr std::size_t pageItems = 500;
        const std::string after = queryValue(target, "after");
        std::string list;
        std::size_t count = 0;
        bool truncated = false;
        for (auto item = this->items.upper_bound(after); item != this->items.end(); ++item) {
            if (++count > pageItems) {
                truncated = true;
                break;
            }
            list += (list.empty() ? "" : ",") + ("{\"key\":\"" + item->first) + R"(","value":")"
                + encodeBase64(item->second.value) + R"(","revision":)" + std::to_string(item->second.revision)
                + R"(,"created-rev":)" + std::to_string(item->second.created) + R"(,"lease":0})";
        }
        this->answer(connection, 200,
            R"({"items":[)" + list + R"(],"truncated":)" + (truncated ? "true" : "false") + R"(,"store-revision":)"
                + std::to_string(this->revision) + "}");
        return;
    }
    if (target.starts_with("/v1/kv-watch")) {
        connection.after = std::strtoull(queryValue(target, "after").c_str(), nullptr, 10);
        const auto wait = static_cast<Milliseconds>(std::strtoull(queryValue(target, "wait-ms").c_str(), nullptr, 10));
        if (connection.after > this->revision) {
            this->answer(connection, 410, "{}");
            return;
        }
        connection.waiting = true;
        connection.deadline = this->loop.now() + wait;
        if (this->answerWatch(connection)) {
            return;
        }
        this->loop.after(wait, [this, descriptor = connection.descriptor] {
            const auto found = this->connections.find(descriptor);
            if (found != this->connections.end()) {
                this->answerWatch(*found->second);
            }
        });
        return;
    }
    this->answer(connection, 404, "{}");
}

bool Store::answerWatch(Connection& connection)
{
    if (!connection.waiting || this->away || this->doors.at(connection.door) == Door::Silent) {
        return false;
    }
    std::string list;
    for (const Event& event : this->events) {
        if (event.revision <= connection.after) {
            continue;
        }
        list += list.empty() ? "" : ",";
        if (event.tombstone) {
            list += R"({"key":")" + event.key + R"(","revision":)" + std::to_string(event.revision)
                + R"(,"tombstone":true})";
        } else {
            list += R"({"key":")" + event.key + R"(","value":")" + encodeBase64(event.item.value) + R"(","revision":)"
                + std::to_string(event.revision) + R"(,"created-rev":)" + std::to_string(event.item.created)
                + R"(,"lease":0})";
        }
    }
    if (list.empty() && this->loop.now() < connection.deadline) {
        return false;
    }
    this->answer(
        connection, 200, R"({"events":[)" + list + R"(],"store-revision":)" + std::to_string(this->revision) + "}");
    return true;
}

void Store::answer(Connection& connection, int status, const std::string& body)
{
    const std::string head = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error")
        + "\r\nContent-Type: application/json\r\nStore-Era: " + std::to_string(this->era)
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n";
    const std::string bytes = head + body;
    ::send(connection.descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    this->close(connection.descriptor);
}

void Store::answerWatches()
{
    std::vector<std::shared_ptr<Connection>> waiting;
    for (const auto& [descriptor, connection] : this->connections) {
        waiting.push_back(connection);
    }
    for (const auto& connection : waiting) {
        this->answerWatch(*connection);
    }
}

void Store::write(const std::string& key, const std::string& value, const std::string& significant)
{
    if (this->away) {
        return;
    }
    const auto found = this->items.find(key);
    if (found != this->items.end() && found->second.significant == significant) {
        return;
    }
    ++this->revision;
    Item& item = this->items[key];
    item.created = item.created == 0 ? this->revision : item.created;
    item.value = value;
    item.significant = significant;
    item.revision = this->revision;
    this->events.push_back({ this->revision, key, false, item });
    this->answerWatches();
}

void Store::remove(const std::string& key)
{
    if (this->away || this->items.erase(key) == 0) {
        return;
    }
    ++this->revision;
    this->events.push_back({ this->revision, key, true, {} });
    this->answerWatches();
}

void Store::goAway() { this->away = true; }

void Store::comeBackFromCopy()
{
    this->items = this->copy.items;
    this->events = this->copy.events;
    this->revision = this->copy.revision;
    ++this->era;
    this->away = false;
    std::vector<std::shared_ptr<Connection>> open;
    for (const auto& [descriptor, connection] : this->connections) {
        open.push_back(connection);
    }
    for (const auto& connection : open) {
        if (connection->input.find("\r\n\r\n") != std::string::npos) {
            connection->waiting = false;
            this->handle(*connection);
        }
    }
}

std::set<std::uint32_t> Store::watchers() const
{
    std::set<std::uint32_t> addresses;
    for (const auto& [descriptor, connection] : this->connections) {
        if (connection->waiting) {
            addresses.insert(connection->door);
        }
    }
    return addresses;
}

Server::Server(Loop& eventLoop, Record& runRecord, Store& platformStore, std::string name, std::string serviceName,
    std::uint32_t address, unsigned seed)
    : loop(eventLoop)
    , record(runRecord)
    , store(platformStore)
    , id(std::move(name))
    , service(std::move(serviceName))
    , ip(address)
    , random(seed)
    , socket(openUdp({ address, appPort }))
{
    this->loop.watch(this->socket, POLLIN, [this](short) { this->receive(); });
}

Server::~Server()
{
    this->loop.forget(this->socket);
    close(this->socket);
}

void Server::beat()
{
    if (!this->alive) {
        return;
    }
    ++this->beats;
    const Milliseconds cold = std::max<Milliseconds>(0, this->coldUntil - this->loop.now());
    const auto entry = [&](std::uint64_t number) {
        std::ostringstream value;
        value << R"({"service":")" << this->service << R"(","address":")" << text({ this->ip, appPort })
              << R"(","zone":"msasani","version":"v1","slots":)" << this->slots << R"(,"state":")"
              << (this->draining ? "draining" : "ready") << R"(","cold-remaining-ms":)" << cold << R"(,"seq":)"
              << number << "}";
        return value.str();
    };
    this->store.write("servers/" + this->id, entry(this->beats), entry(0));
    this->loop.after(this->heartbeatMs, [this, current = this->lifetime, count = this->beats] {
        if (current == this->lifetime && count == this->beats) {
            this->beat();
        }
    });
}

void Server::drain()
{
    this->draining = true;
    this->record.line("server " + this->id + " reports draining; the store has accepted it");
    this->beat();
}

void Server::crash()
{
    this->alive = false;
    ++this->lifetime;
    this->flows.clear();
    this->queue.clear();
    this->working = 0;
    this->record.line("server " + this->id + " ends; its flows are gone");
}

void Server::leave()
{
    this->crash();
    this->store.remove("servers/" + this->id);
}

void Server::restart()
{
    this->alive = true;
    this->draining = false;
    this->record.line("server " + this->id + " starts again");
    this->beat();
}

bool Server::holdsOpen(const Address& consumer, const Address& route) const
{
    const auto found = this->flows.find({ consumer, route });
    return found != this->flows.end() && found->second.open && !found->second.finished;
}

void Server::receive()
{
    for (;;) {
        Bytes bytes(2048);
        const auto count = recv(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (count < 0) {
            return;
        }
        bytes.resize(static_cast<std::size_t>(count));
        Packet packet;
        if (!this->alive || !Packet::decode(bytes, packet)) {
            continue;
        }
        const auto found = this->flows.find({ packet.source, packet.destination });
        if (found == this->flows.end() && !packet.has(Packet::syn)) {
            bytes[28] = static_cast<std::uint8_t>(bytes[28] | Packet::bounced);
            bytes[29] = 0;
            sendUdp(this->socket, { this->ip, outboundPort }, bytes);
            continue;
        }
        this->handle(packet);
    }
}

void Server::send(const Key& key, const Flow& flow, std::uint8_t flags, std::uint32_t seq, const std::string& payload)
{
    Packet packet;
    packet.sum = static_cast<std::uint32_t>(this->random()) | 1U;
    packet.seq = seq;
    packet.acknowledged = flow.next;
    packet.destination = key.first;
    packet.source = key.second;
    packet.flags = flags;
    packet.payload = payload;
    sendUdp(this->socket, { this->ip, outboundPort }, packet.encode());
}

void Server::handle(const Packet& packet)
{
    const Key key { packet.source, packet.destination };
    if (packet.has(Packet::syn)) {
        const auto [found, added] = this->flows.try_emplace(key);
        Flow& flow = found->second;
        if (added) {
            flow.seq = static_cast<std::uint32_t>(this->random());
            flow.sent = flow.seq + 1;
            flow.next = packet.seq + 1;
            flow.arrived = this->loop.now();
        }
        if (!flow.open) {
            this->send(key, flow, Packet::syn | Packet::ack, flow.seq, {});
        }
        return;
    }
    Flow& flow = this->flows.at(key);
    if (packet.has(Packet::rst)) {
        this->flows.erase(key);
        return;
    }
    if (!flow.open) {
        if (!packet.has(Packet::ack) || packet.acknowledged != flow.seq + 1) {
            return; // the consumer has accepted another server's answer
        }
        flow.open = true;
    }
    if (packet.acknowledged == flow.sent) {
        flow.answer.clear();
    }
    const bool expected = packet.seq == flow.next;
    if (!packet.payload.empty() && expected) {
        flow.next += static_cast<std::uint32_t>(packet.payload.size());
        const std::string marker = "X-Chicoryferry-Request-Id: ";
        const std::size_t begin = packet.payload.find(marker) + marker.size();
        flow.pending = packet.payload.substr(begin, packet.payload.find('\r', begin) - begin);
        this->queue.push_back(key);
        this->startWork();
    } else if (!packet.payload.empty() && flow.answer.empty()) {
        this->send(key, flow, Packet::ack, flow.sent, {});
    }
    if (packet.has(Packet::fin) && expected && !flow.finished) {
        ++flow.next;
        flow.finished = true;
        this->send(key, flow, Packet::fin | Packet::ack, flow.sent, {});
    } else if (packet.has(Packet::fin)) {
        this->send(key, flow, Packet::ack, flow.sent + 1, {});
    }
}

void Server::startWork()
{
    while (this->working < this->slots && !this->queue.empty()) {
        const Key key = this->queue.front();
        this->queue.pop_front();
        const auto found = this->flows.find(key);
        if (found == this->flows.end()) {
            continue;
        }
        ++this->working;
        this->ran.push_back({ found->second.pending, found->second.arrived, this->loop.now() });
        this->record.line("server " + this->id + " runs " + found->second.pending);
        this->loop.after(this->workMs, [this, key, run = this->ran.size() - 1, current = this->lifetime] {
            if (current == this->lifetime) {
                this->finishWork(key, run);
            }
        });
    }
}

void Server::finishWork(const Key& key, std::size_t run)
{
    --this->working;
    const auto found = this->flows.find(key);
    if (found != this->flows.end()) {
        this->ran[run].answered = true;
        Flow& flow = found->second;
        const std::string body = "done " + this->ran[run].request;
        flow.answer = "HTTP/1.1 200 OK\r\nX-Chicoryferry-Response-Stamp: " + this->id
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        const std::uint32_t seq = flow.sent;
        flow.sent += static_cast<std::uint32_t>(flow.answer.size());
        flow.tries = 0;
        this->send(key, flow, Packet::ack, seq, flow.answer);
        this->repeatAnswer(key, seq, 200);
    }
    this->startWork();
}

void Server::repeatAnswer(const Key& key, std::uint32_t seq, Milliseconds delay)
{
    this->loop.after(delay, [this, key, seq, delay, current = this->lifetime] {
        const auto found = this->flows.find(key);
        if (current != this->lifetime || found == this->flows.end() || found->second.answer.empty()
            || found->second.sent != seq + found->second.answer.size() || ++found->second.tries > 8) {
            return;
        }
        this->send(key, found->second, Packet::ack, seq, found->second.answer);
        this->repeatAnswer(key, seq, std::min<Milliseconds>(2 * delay, 1600));
    });
}

Node::Node(Loop& eventLoop, Record& runRecord, std::string name, std::string roleName, std::string settingsText,
    std::string folderPath)
    : loop(eventLoop)
    , record(runRecord)
    , label(std::move(name))
    , role(std::move(roleName))
    , settings(std::move(settingsText))
    , folder(std::move(folderPath))
{
}

Node::~Node()
{
    if (this->process > 0) {
        kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
    }
}

void Node::start()
{
    const std::string path = this->folder + "/" + this->label + ".conf";
    std::ofstream(path + ".new") << this->settings;
    std::filesystem::rename(path + ".new", path);
    const std::string log = this->folder + "/" + this->label + ".log";
    this->signalled = false;
    this->process = fork();
    if (this->process < 0) {
        giveUp("fork");
    }
    if (this->process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // also if this driver is killed
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, 1);
        dup2(output, 2);
        setenv("CHICORYFERRY_SETTINGS", path.c_str(), 1);
        execl("target/chicoryferry-node", "chicoryferry-node", this->role.c_str(), nullptr);
        _exit(127);
    }
    this->poll();
}

void Node::poll()
{
    constexpr Milliseconds interval = 100;
    constexpr Milliseconds restartDelay = 400;
    this->loop.after(interval, [this, watched = this->process] {
        if (watched != this->process) {
            return;
        }
        if (!this->hasEnded()) {
            this->poll();
        } else if (this->restarts) {
            this->loop.after(restartDelay, [this] {
                if (this->process == 0) {
                    this->record.line(this->label + " is started again");
                    this->start();
                }
            });
        }
    });
}

void Node::signal(int number) const
{
    if (this->process > 0) {
        this->signalled = this->signalled || number == SIGTERM || number == SIGKILL;
        kill(this->process, number);
    }
}

bool Node::hasEnded()
{
    if (this->process > 0 && waitpid(this->process, nullptr, WNOHANG) == this->process) {
        this->record.line(this->label + (this->signalled ? " has ended" : " has ended by itself"));
        this->unexpected += this->signalled ? 0 : 1;
        this->process = 0;
    }
    return this->process == 0;
}

void Router::start()
{
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        this->probe(index);
    }
}

void Router::probe(std::size_t index)
{
    constexpr Milliseconds interval = 500;
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const sockaddr_in address = toSocketAddress({ this->nodes[index].ip, readyPort });
    // A failure shows at the probe's end.
    (void)connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address));
    const auto isReady = std::make_shared<bool>(false);
    const auto sent = std::make_shared<bool>(false);
    this->loop.watch(descriptor, POLLOUT, [this, descriptor, isReady, sent](short) {
        if (!*sent) {
            *sent = true;
            const std::string request = "GET /v1/ready HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
            if (::send(descriptor, request.data(), request.size(), MSG_NOSIGNAL) < 0) {
                this->loop.forget(descriptor);
                return;
            }
            this->loop.watch(descriptor, POLLIN, [this, descriptor, isReady](short) {
                std::array<char, 512> buffer {};
                const auto count = recv(descriptor, buffer.data(), buffer.size(), 0);
                *isReady = *isReady || (count > 12 && std::memcmp(buffer.data() + 9, "200", 3) == 0);
                this->loop.forget(descriptor);
            });
        }
    });
    this->loop.after(interval, [this, descriptor, isReady, index] {
        this->loop.forget(descriptor);
        close(descriptor);
        Node& node = this->nodes[index];
        node.misses = *isReady ? 0 : node.misses + 1;
        node.rotating = *isReady || (node.rotating && node.misses < 2);
        this->probe(index);
    });
}

std::size_t Router::inRotation() const
{
    return static_cast<std::size_t>(
        std::count_if(this->nodes.begin(), this->nodes.end(), [](const Node& node) { return node.rotating; }));
}

bool Router::isInRotation(std::uint32_t ip) const
{
    return std::any_of(
        this->nodes.begin(), this->nodes.end(), [ip](const Node& node) { return node.ip == ip && node.rotating; });
}

std::uint32_t Router::select(const Address& consumer, const Address& route) const
{
    const bool useAll = 2 * this->inRotation() < this->nodes.size();
    std::uint32_t selected = 0;
    std::uint64_t best = 0;
    for (const Node& node : this->nodes) {
        const std::array<std::uint32_t, 5> words { consumer.ip, consumer.port, route.ip, route.port, node.ip };
        const std::uint64_t rank = XXH3_64bits_withSeed(words.data(), sizeof(words), 47);
        if ((node.rotating || useAll) && (selected == 0 || rank > best)) {
            selected = node.ip;
            best = rank;
        }
    }
    return selected;
}

Consumers::Consumers(Loop& eventLoop, Record& runRecord, Router& routers, std::uint32_t address, unsigned seed)
    : loop(eventLoop)
    , record(runRecord)
    , router(routers)
    , ip(address)
    , random(seed)
    , socket(openUdp({ address, packetPort }))
{
    this->loop.watch(this->socket, POLLIN, [this](short) { this->receive(); });
}

Consumers::~Consumers()
{
    this->loop.forget(this->socket);
    ::close(this->socket);
}

std::size_t Consumers::open(const Address& route, Milliseconds pause)
{
    const std::size_t index = this->flows.size();
    Flow flow;
    flow.consumer = { this->ip, this->nextPort++ };
    flow.route = route;
    flow.started = this->loop.now();
    flow.pause = pause;
    flow.seq = static_cast<std::uint32_t>(this->random());
    this->byPort[flow.consumer.port] = index;
    this->flows.push_back(std::move(flow));
    this->flows.back().firstNode = this->router.select(this->flows.back().consumer, route);
    this->sendSyn(index, 0);
    return index;
}

void Consumers::sendSyn(std::size_t index, std::uint32_t copy)
{
    constexpr std::array<Milliseconds, 4> times { 0, 200, 600, 1400 };
    Flow& flow = this->flows[index];
    if (flow.open || flow.end != End::None) {
        return;
    }
    if (copy == 3) {
        this->finish(flow, End::NoAnswer);
        return;
    }
    this->send(flow, Packet::syn, flow.seq, copy, {});
    this->loop.at(flow.started + times[copy + 1], [this, index, copy] { this->sendSyn(index, copy + 1); });
}

void Consumers::send(
    Flow& flow, std::uint8_t flags, std::uint32_t seq, std::uint32_t acknowledged, const std::string& payload)
{
    Packet packet;
    packet.sum = static_cast<std::uint32_t>(this->random()) | 1U;
    packet.seq = seq;
    packet.acknowledged = acknowledged;
    packet.destination = flow.route;
    packet.source = flow.consumer;
    packet.flags = flags;
    packet.payload = payload;
    flow.lastNode = this->router.select(flow.consumer, flow.route);
    sendUdp(this->socket, { flow.lastNode, packetPort }, packet.encode());
}

void Consumers::receive()
{
    for (;;) {
        Bytes bytes(2048);
        const auto count = recv(this->socket, bytes.data(), bytes.size(), MSG_DONTWAIT);
        if (count < 0) {
            return;
        }
        bytes.resize(static_cast<std::size_t>(count));
        Packet packet;
        if (!Packet::decode(bytes, packet)) {
            continue;
        }
        const auto found = this->byPort.find(packet.destination.port);
        if (found != this->byPort.end()) {
            this->handle(this->flows[found->second], found->second, packet);
        }
    }
}

void Consumers::finish(Flow& flow, End end)
{
    if (flow.end != End::None) {
        return;
    }
    flow.end = end;
    flow.ended = this->loop.now();
    if (!flow.requests.empty() && flow.requests.back().answered < 0) {
        flow.requests.back().end = end;
        this->record.line("consumer: " + flow.requests.back().id + " on flow " + text(flow.consumer) + " ends with "
            + (end == End::Reset           ? "a reset"
                    : end == End::TimedOut ? "its time budget"
                                           : "no answer"));
    }
}

void Consumers::handle(Flow& flow, std::size_t index, const Packet& packet)
{
    if (flow.end == End::Closed && packet.has(Packet::fin)) {
        this->send(flow, Packet::ack, flow.sent + 1, packet.seq + 1, {});
    }
    if (flow.end != End::None) {
        return;
    }
    if (packet.has(Packet::rst)) {
        constexpr std::int64_t window = 76'800;
        const auto distance = std::abs(static_cast<std::int64_t>(static_cast<std::int32_t>(packet.seq - flow.next)));
        if (flow.open && distance > window) {
            return;
        }
        this->record.line("consumer: flow " + text(flow.consumer) + (flow.open ? ", which is open," : "")
            + " gets a reset of " + (packet.sum == 0 ? "the system" : "the server") + "; last packet through "
            + ipText(flow.lastNode));
        if (packet.sum == 0 && flow.open && this->onReset) {
            this->onReset(flow);
        }
        this->finish(flow, End::Reset);
        return;
    }
    if (packet.has(Packet::syn)) {
        if (!flow.open && packet.acknowledged == flow.seq + 1) {
            flow.open = true;
            flow.opened = this->loop.now();
            flow.next = packet.seq + 1;
            flow.sent = flow.seq + 1;
            this->request(index);
        }
        return;
    }
    if (!flow.open || packet.payload.empty()) {
        return;
    }
    if (packet.seq != flow.next) {
        this->send(flow, Packet::ack, flow.sent, flow.next, {});
        return;
    }
    flow.next += static_cast<std::uint32_t>(packet.payload.size());
    Request& request = flow.requests.back();
    request.answered = this->loop.now();
    request.status = 200;
    flow.pending.clear();
    this->record.line("consumer: " + request.id + " is answered with "
        + packet.payload.substr(0, packet.payload.find('\r')) + ", "
        + packet.payload.substr(packet.payload.rfind('\n') + 1));
    if (flow.pause == 0) {
        this->close(index);
        return;
    }
    this->send(flow, Packet::ack, flow.sent, flow.next, {});
    this->loop.after(flow.pause, [this, index] { this->request(index); });
}

void Consumers::close(std::size_t index)
{
    Flow& flow = this->flows[index];
    if (flow.end == End::None && flow.open) {
        this->send(flow, Packet::fin | Packet::ack, flow.sent, flow.next, {});
    }
    this->finish(flow, End::Closed);
}

void Consumers::request(std::size_t index)
{
    Flow& flow = this->flows[index];
    if (flow.end != End::None) {
        return;
    }
    Request request;
    request.id = "q" + std::to_string(this->nextRequest++);
    request.sent = this->loop.now();
    flow.pending = "POST /corrections HTTP/1.1\r\nHost: " + text(flow.route)
        + "\r\nX-Chicoryferry-Request-Id: " + request.id + "\r\nContent-Length: 0\r\n\r\n";
    flow.requests.push_back(request);
    const std::uint32_t seq = flow.sent;
    flow.sent += static_cast<std::uint32_t>(flow.pending.size());
    this->send(flow, Packet::ack, seq, flow.next, flow.pending);
    this->record.line(
        "consumer: sends " + request.id + " on flow " + text(flow.consumer) + " through " + ipText(flow.lastNode));
    this->repeat(index, flow.requests.size() - 1, 200);
    this->loop.after(this->budgetMs, [this, index, number = flow.requests.size() - 1] {
        Flow& late = this->flows[index];
        if (late.end == End::None && late.requests[number].answered < 0) {
            if (this->closesOnTimeout) {
                this->send(late, Packet::rst | Packet::ack, late.sent, late.next, {});
            }
            this->finish(late, End::TimedOut);
        }
    });
}

void Consumers::repeat(std::size_t index, std::size_t number, Milliseconds delay)
{
    this->loop.after(delay, [this, index, number, delay] {
        Flow& flow = this->flows[index];
        if (flow.end != End::None || flow.requests.size() != number + 1 || flow.pending.empty()) {
            return;
        }
        const auto seq = static_cast<std::uint32_t>(flow.sent - flow.pending.size());
        this->send(flow, Packet::ack, seq, flow.next, flow.pending);
        this->repeat(index, number, std::min<Milliseconds>(2 * delay, 1600));
    });
}

Deployment::Deployment(std::size_t balancerCount, const std::string& recordPath)
    : record(this->loop, recordPath)
{
    std::signal(SIGPIPE, SIG_IGN);
    std::string name = (std::filesystem::temp_directory_path() / "chicoryferry-review-XXXXXX").string();
    if (mkdtemp(name.data()) == nullptr) {
        giveUp("create a temporary folder");
    }
    this->folder = name;
    // A /24 within 127.128.0.0/9, so that runs do not meet.
    this->network = 0x7F800000U + ((static_cast<std::uint32_t>(getpid()) & 0x7FFFU) << 8U);
    std::vector<std::uint32_t> addresses;
    for (std::size_t index = 0; index < balancerCount; ++index) {
        addresses.push_back(this->balancerIp(index));
        this->store.listen({ this->storeIp(index), storePort });
        const std::string label = "front-" + std::to_string(index + 1);
        this->balancers.push_back(std::make_unique<Node>(this->loop, this->record, label, "balancer",
            this->settings(label, "front", this->balancerIp(index), this->storeIp(index), "", true), this->folder));
    }
    this->store.listen({ this->network + 200, storePort }); // for the agents, which do not call it
    this->router = std::make_unique<Router>(this->loop, addresses);
    this->consumers = std::make_unique<Consumers>(this->loop, this->record, *this->router, this->network + 210, 11);
}

Deployment::~Deployment()
{
    this->balancers.clear();
    this->agents.clear();
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(this->folder);
    } else {
        std::cerr << "logs in " << this->folder << "\n";
    }
}

std::string Deployment::settings(const std::string& name, const std::string& kind, std::uint32_t ip,
    std::uint32_t storeAddress, const std::string& service, bool first) const
{
    const auto at = [ip](std::uint16_t port) { return text({ ip, port }); };
    std::ostringstream out;
    out << "node-name=" << name << "\nmachine-class=" << kind << "\nip=" << ipText(ip)
        << "\nzone=msasani\nregion=dar-coast\nzones.msasani=dar-coast\nlisten.datagram-addr=" << at(packetPort)
        << "\nlisten.ready-addr=" << at(readyPort)
        << "\ninternal-ports=7720,7735\nseeds=" << ipText(this->balancerIp(0)) << ":8166,"
        << ipText(this->balancerIp(1)) << ":8166," << ipText(this->balancerIp(2))
        << ":8166\nbootstrap=" << (first ? "true" : "false")
        << "\nlimits.cpu-share=0.25\nlimits.cores=1\nlimits.memory-mb=260\nlimits.max-fds=4100\nlimits.link-mbps=1000."
           "0\n"
           "discovery=platform\nheartbeat-ms=770\ncontracts=base,drain,config,cost,recover,flows,platform\n"
           "bounds.contact-ms=4000\nbounds.drain-ms=3000\nbounds.grace-s=6\nbounds.config-apply-ms=3000\n"
           "bounds.recovery-s=12\nbounds.reorder-ms=2000\nbounds.flow-ttl-s=60\nhash=steady\ndeploy-mode=agent\n"
           "platform.address="
        << text({ storeAddress, storePort })
        << "\nplatform.deploy-mode=read\nplatform.reads-per-s=2000\nplatform.history-s=20\n";
    if (!service.empty()) {
        out << "serves=side\nlisten.outbound=" << at(outboundPort) << "\napp=" << at(appPort) << "\nservice=" << service
            << "\n";
    } else {
        out << "serves=front,control\nlisten.control=" << at(8166) << "\n";
    }
    return out.str();
}

Server& Deployment::addServer(const std::string& service, bool first)
{
    const std::size_t index = this->servers.size();
    const std::uint32_t ip = this->serverIp(index);
    const std::string label = "side-" + std::to_string(index + 1);
    this->servers.push_back(std::make_unique<Server>(this->loop, this->record, this->store,
        "i-" + std::to_string(index + 1), service, ip, static_cast<unsigned>(100 + index)));
    this->agents.push_back(std::make_unique<Node>(this->loop, this->record, label, "agent",
        this->settings(label, "side", ip, this->network + 200, service, first), this->folder));
    if (!first) {
        this->agents.back()->start();
        this->servers.back()->coldUntil = this->loop.now() + 2000;
    }
    this->servers.back()->beat();
    return *this->servers.back();
}

void Deployment::configure(std::uint64_t version, const std::vector<std::pair<Address, std::string>>& routes)
{
    std::ostringstream out;
    out << R"({"version":)" << version << R"(,"routes":[)";
    std::string separator;
    for (const auto& [address, service] : routes) {
        out << separator << R"({"name":"r-)" << address.port << R"(","hostname":")" << ipText(address.ip)
            << R"(","prefix":"/)" << address.port
            << R"(/","route-type":"unsafe","timeout-ms":1200,"target-latency-ms":120,"priority":1,"service":")"
            << service << R"(","attempts":2})";
        separator = ",";
    }
    out << R"(],"services":[{"name":"job-desk","health-path":"/health","max-conns":2000,"protocol":"h1","tls":false}],)"
        << R"("limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,)"
        << R"("idle-timeout-ms":15000}})";
    this->store.write("op/config", out.str(), out.str());
    this->record.line("operator: version " + std::to_string(version) + " is acknowledged by the store");
}

void Deployment::startAll()
{
    for (const auto& node : this->balancers) {
        node->start();
    }
    for (const auto& node : this->agents) {
        node->start();
    }
    this->router->start();
    // Later starts of a process are not those of the whole system.
    for (std::size_t index = 0; index < this->balancers.size(); ++index) {
        const std::string label = this->balancers[index]->name();
        this->balancers[index]->setSettings(
            this->settings(label, "front", this->balancerIp(index), this->storeIp(index), "", false));
    }
    for (std::size_t index = 0; index < this->agents.size(); ++index) {
        this->agents[index]->setSettings(this->settings(this->agents[index]->name(), "side", this->serverIp(index),
            this->network + 200, this->servers[index]->serves(), false));
    }
}

bool Deployment::waitUntilReady(Milliseconds limit)
{
    const auto isReady = [this] { return this->router->inRotation() == this->balancers.size(); };
    this->loop.runUntil(this->loop.now() + limit, isReady);
    return isReady();
}

std::vector<std::size_t> Deployment::readerOrder() const
{
    std::vector<std::pair<std::uint64_t, std::size_t>> ranked;
    for (std::size_t index = 0; index < this->balancers.size(); ++index) {
        const std::uint32_t ip = this->balancerIp(index);
        ranked.emplace_back(XXH3_64bits(&ip, sizeof(ip)), index);
    }
    std::sort(ranked.begin(), ranked.end());
    std::vector<std::size_t> order;
    order.reserve(ranked.size());
    for (const auto& [rank, index] : ranked) {
        order.push_back(index);
    }
    return order;
}

bool Deployment::processesEndedByThemselves() const
{
    const auto ended = [](const std::unique_ptr<Node>& node) { return node->ownEnds() > 0; };
    return std::any_of(this->balancers.begin(), this->balancers.end(), ended)
        || std::any_of(this->agents.begin(), this->agents.end(), ended);
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

}
