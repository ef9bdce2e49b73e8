#include "transport/TcpStack.h"

#include "support/InternalError.h"
#include "support/UserError.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <deque>
#include <map>
#include <string>
#include <sys/random.h>
#include <unordered_map>
#include <utility>
#include <variant>

extern "C" {
#include <lwip/init.h>
#include <lwip/ip.h>
#include <lwip/netif.h>
#include <lwip/priv/tcp_priv.h>
#include <lwip/tcp.h>
#include <lwip/timeouts.h>
}

namespace chicoryferry {

namespace {

using Clock = std::chrono::steady_clock;

// A connection whose peer is dead ends after 20 s + 3 * 5 s = 35 s.
constexpr std::chrono::milliseconds keepaliveIdle = std::chrono::seconds(20);
constexpr std::chrono::milliseconds keepaliveInterval = std::chrono::seconds(5);
constexpr std::uint32_t keepaliveProbes = 3;

// How long a closed connection waits for the peer's FIN while it discards what the peer still sends.
constexpr std::chrono::milliseconds lingerTime = std::chrono::seconds(5);

constexpr std::chrono::milliseconds housekeepingInterval = std::chrono::milliseconds(500);

// A closed connection whose peer has been silent for longer than this is aborted; lwIP alone would retransmit for
// minutes.
constexpr std::chrono::milliseconds closingTimeout = std::chrono::seconds(40);

// lwIP keeps flows in TIME-WAIT for 120 s in a list that it scans for each SYN, so both their time and their number are
// bounded here.
constexpr std::chrono::milliseconds timeWaitDuration = std::chrono::seconds(10);
constexpr std::size_t timeWaitLimit = 4000;

// The address of the interface while no packet is being processed; lwIP requires one, and no flow uses it.
constexpr std::uint32_t unusedAddress = 0xC0000201; // 192.0.2.1, reserved for documentation

constexpr std::size_t ipHeaderMinimumBytes = 20;
constexpr std::size_t destinationOffset = 16;

constexpr std::size_t tcpFlagsOffset = 13;

// An empty receive buffer with a larger capacity is released.
constexpr std::size_t retainedBufferBytes = 4096;

ip_addr_t toLwip(std::uint32_t address)
{
    ip_addr_t result {};
    IP_SET_TYPE_VAL(result, IPADDR_TYPE_V4);
    ip_2_ip4(&result)->addr = htonl(address);
    return result;
}

Endpoint toEndpoint(const ip_addr_t& address, std::uint16_t port) { return { ntohl(ip_2_ip4(&address)->addr), port }; }

std::uint32_t ticks(std::chrono::milliseconds time)
{
    return static_cast<std::uint32_t>(time.count() / TCP_SLOW_INTERVAL);
}

TcpFlowPhase phaseOfState(tcp_state state)
{
    switch (state) {
    case SYN_SENT:
    case SYN_RCVD:
        return TcpFlowPhase::HalfOpen;
    case ESTABLISHED:
        return TcpFlowPhase::Open;
    case TIME_WAIT:
        return TcpFlowPhase::TimeWait;
    default:
        return TcpFlowPhase::Closing;
    }
}

TcpFlowSummary summarize(const tcp_pcb& block)
{
    return { toEndpoint(block.local_ip, block.local_port), toEndpoint(block.remote_ip, block.remote_port),
        phaseOfState(block.state) };
}

// lwIP counts initial sequence numbers up from a constant. Two agents that admit the same retransmitted SYN must
// choose different numbers, and outsiders must not be able to guess them, so a random amount is added before each
// choice.
void randomizeInitialSequence()
{
    std::uint32_t random = 0;
    const ssize_t count = getrandom(&random, sizeof(random), 0);
    internalAssert(count == sizeof(random), "choose initial sequence number", "getrandom failed");
    // tcp_next_iss() adds tcp_ticks to lwIP's counter.
    const std::uint32_t savedTicks = tcp_ticks;
    tcp_ticks = random;
    tcp_pcb unused {};
    tcp_next_iss(&unused);
    tcp_ticks = savedTicks;
}

bool hasSynFlag(std::span<const std::uint8_t> packet)
{
    const std::size_t flagsIndex = std::size_t { 4 } * (packet[0] & 0x0FU) + tcpFlagsOffset;
    return flagsIndex < packet.size() && (packet[flagsIndex] & TCP_SYN) != 0;
}

void initializeOnce()
{
    static const bool done = [] {
        lwip_init();
        return true;
    }();
    static_cast<void>(done);
}

struct Connection {
    std::uint64_t identifier { 0 };
    tcp_pcb* controlBlock { nullptr };
    std::string received;
    std::size_t consumed { 0 };
    bool writableQueued { false };
    bool readableQueued { false };
    bool peerClosed { false };
    bool lingering { false }; // closed by its user; waits for the peer's FIN
    Clock::time_point lingerEnd;
    void* stack { nullptr }; // TcpStack::Implementation, a private type
};

}

class TcpStack::Implementation {
public:
    Implementation(OutputHandler onPacket, EventHandler onEvent)
        : outputHandler(std::move(onPacket))
        , eventHandler(std::move(onEvent))
    {
        initializeOnce();
        const ip_addr_t address = toLwip(unusedAddress);
        const ip_addr_t mask = toLwip(0xFFFFFFFF);
        const ip_addr_t gateway = toLwip(0);
        const netif* added = netif_add(&this->interface, ip_2_ip4(&address), ip_2_ip4(&mask), ip_2_ip4(&gateway), this,
            &Implementation::initializeInterface, &ip_input);
        internalAssert(added != nullptr, "create TCP stack", "netif_add failed");
        netif_set_up(&this->interface);
        netif_set_link_up(&this->interface);
    }

    ~Implementation()
    {
        this->removeOwn(&tcp_active_pcbs);
        this->removeOwn(&tcp_tw_pcbs);
        for (const auto& [endpoint, listener] : this->listeners) {
            tcp_close(listener);
        }
        netif_remove(&this->interface);
    }

    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    void listen(const Endpoint& local)
    {
        if (this->listeners.contains(local)) {
            return;
        }
        tcp_pcb* unbound = tcp_new_ip_type(IPADDR_TYPE_V4);
        internalAssert(unbound != nullptr, "listen", "out of memory");
        // Sets the endpoint after tcp_listen() without tcp_bind(), because lwIP refuses the same endpoint in two
        // stacks.
        tcp_pcb* listener = tcp_listen(unbound);
        internalAssert(listener != nullptr, "listen", "out of memory");
        tcp_bind_netif(listener, &this->interface);
        listener->local_ip = toLwip(local.address);
        listener->local_port = local.port;
        ip_set_option(listener, SOF_KEEPALIVE);
        tcp_arg(listener, this);
        tcp_accept(listener, &Implementation::onAccept);
        this->listeners[local] = listener;
    }

    void stopListening(const Endpoint& local)
    {
        const auto found = this->listeners.find(local);
        if (found != this->listeners.end()) {
            tcp_close(found->second);
            this->listeners.erase(found);
        }
    }

    std::uint64_t connect(const Endpoint& local, const Endpoint& remote)
    {
        tcp_pcb* existing = this->find(local, remote);
        if (existing != nullptr && existing->state != TIME_WAIT) {
            throw UserError("connect", formatEndpoint(remote),
                "a connection from " + formatEndpoint(local) + " to this endpoint already exists");
        }
        this->removeSilently(local, remote);
        tcp_pcb* block = tcp_new_ip_type(IPADDR_TYPE_V4);
        internalAssert(block != nullptr, "connect", "out of memory");
        tcp_bind_netif(block, &this->interface);
        block->local_ip = toLwip(local.address);
        block->local_port = local.port;
        ip_set_option(block, SOF_KEEPALIVE);
        Connection& connection = this->attach(block);
        randomizeInitialSequence();
        const ip_addr_t destination = toLwip(remote.address);
        const err_t error = tcp_connect(block, &destination, remote.port, &Implementation::onConnected);
        internalAssert(error == ERR_OK, "connect", "tcp_connect failed");
        return connection.identifier;
    }

    void input(std::span<const std::uint8_t> packet)
    {
        if (packet.size() < ipHeaderMinimumBytes || packet.size() > 0xFFFF) {
            return;
        }
        pbuf* buffer = pbuf_alloc(PBUF_RAW, static_cast<u16_t>(packet.size()), PBUF_RAM);
        if (buffer == nullptr) {
            return;
        }
        pbuf_take(buffer, packet.data(), static_cast<u16_t>(packet.size()));
        if (hasSynFlag(packet)) {
            randomizeInitialSequence();
        }
        // lwIP accepts only packets to the interface's address, and numbers interfaces with 8 bits. Setting its
        // address to each packet's destination lets one interface serve any number of addresses.
        std::array<std::uint8_t, 4> destination {};
        std::copy_n(packet.begin() + destinationOffset, destination.size(), destination.begin());
        std::copy_n(destination.begin(), destination.size(),
            reinterpret_cast<std::uint8_t*>(&ip_2_ip4(&this->interface.ip_addr)->addr));
        netif_set_default(&this->interface);
        if (this->interface.input(buffer, &this->interface) != ERR_OK) {
            pbuf_free(buffer);
        }
        this->interface.ip_addr = toLwip(unusedAddress);
        this->deliver();
    }

    void poll()
    {
        netif_set_default(&this->interface);
        sys_check_timeouts();
        const Clock::time_point now = Clock::now();
        if (now >= this->nextHousekeeping) {
            this->nextHousekeeping = now + housekeepingInterval;
            this->closeExpiredLingering(now);
            this->abortTimedOutClosing();
            this->removeOldTimeWait();
        }
        this->deliver();
    }

    std::chrono::milliseconds nextTimeout() const
    {
        if (!this->events.empty()) {
            return std::chrono::milliseconds(0);
        }
        const std::chrono::milliseconds stackTimeout(sys_timeouts_sleeptime());
        return std::min(stackTimeout, housekeepingInterval);
    }

    std::string_view readable(std::uint64_t identifier) const
    {
        const Connection* connection = this->lookUp(identifier);
        if (connection == nullptr) {
            return {};
        }
        return std::string_view(connection->received).substr(connection->consumed);
    }

    void consume(std::uint64_t identifier, std::size_t bytes)
    {
        Connection* connection = this->lookUp(identifier);
        if (connection == nullptr) {
            return;
        }
        const std::size_t count = std::min(bytes, connection->received.size() - connection->consumed);
        connection->consumed += count;
        if (connection->consumed == connection->received.size()) {
            connection->received.clear();
            connection->consumed = 0;
            if (connection->received.capacity() > retainedBufferBytes) {
                connection->received.shrink_to_fit();
            }
        }
        if (connection->controlBlock != nullptr && count > 0) {
            tcp_recved(connection->controlBlock, static_cast<u16_t>(count));
        }
    }

    std::size_t write(std::uint64_t identifier, std::string_view data)
    {
        Connection* connection = this->lookUp(identifier);
        if (connection == nullptr || connection->controlBlock == nullptr || data.empty()) {
            return 0;
        }
        tcp_pcb* block = connection->controlBlock;
        std::size_t written = 0;
        while (written < data.size()) {
            const std::size_t room = std::min<std::size_t>({ tcp_sndbuf(block), data.size() - written, 0xFFFF });
            if (room == 0
                || tcp_write(block, data.data() + written, static_cast<u16_t>(room), TCP_WRITE_FLAG_COPY) != ERR_OK) {
                break;
            }
            written += room;
        }
        tcp_output(block);
        return written;
    }

    std::size_t unacknowledged(std::uint64_t identifier) const
    {
        const Connection* connection = this->lookUp(identifier);
        if (connection == nullptr || connection->controlBlock == nullptr) {
            return 0;
        }
        return connection->controlBlock->snd_lbb - connection->controlBlock->lastack;
    }

    void close(std::uint64_t identifier)
    {
        Connection* connection = this->lookUp(identifier);
        if (connection == nullptr) {
            return;
        }
        if (connection->controlBlock == nullptr) {
            this->connections.erase(identifier);
            return;
        }
        // lwIP sends a reset in place of FIN while received bytes are not consumed.
        this->consume(identifier, connection->received.size());
        const tcp_state state = connection->controlBlock->state;
        if (connection->peerClosed || (state != ESTABLISHED && state != SYN_RCVD)) {
            this->closeFully(*connection);
            return;
        }
        connection->lingering = true;
        connection->lingerEnd = Clock::now() + lingerTime;
        this->lingeringCount += 1;
        tcp_shutdown(connection->controlBlock, 0, 1);
    }

    void abort(std::uint64_t identifier)
    {
        Connection* connection = this->lookUp(identifier);
        if (connection == nullptr) {
            return;
        }
        if (tcp_pcb* block = this->detach(*connection)) {
            tcp_abort(block);
        }
        this->connections.erase(identifier);
    }

    void sendReset(const Endpoint& local, const Endpoint& remote, std::uint32_t sequence, std::uint32_t acknowledgement)
    {
        tcp_pcb route {};
        route.netif_idx = netif_get_index(&this->interface);
        route.ttl = TCP_TTL;
        const ip_addr_t source = toLwip(local.address);
        const ip_addr_t destination = toLwip(remote.address);
        tcp_rst(&route, sequence, acknowledgement, &source, &destination, local.port, remote.port);
    }

    tcp_pcb* find(const Endpoint& local, const Endpoint& remote) const
    {
        const ip_addr_t localAddress = toLwip(local.address);
        const ip_addr_t remoteAddress = toLwip(remote.address);
        for (tcp_pcb* list : { tcp_active_pcbs, tcp_tw_pcbs }) {
            for (tcp_pcb* block = list; block != nullptr; block = block->next) {
                if (block->remote_port == remote.port && block->local_port == local.port && this->owns(*block)
                    && ip_addr_cmp(&block->remote_ip, &remoteAddress) && ip_addr_cmp(&block->local_ip, &localAddress)) {
                    return block;
                }
            }
        }
        return nullptr;
    }

    bool removeSilently(const Endpoint& local, const Endpoint& remote)
    {
        tcp_pcb* block = this->find(local, remote);
        if (block == nullptr) {
            return false;
        }
        this->removeBlock(block);
        return true;
    }

    std::optional<TcpFlowSummary> flowOf(std::uint64_t identifier) const
    {
        const Connection* connection = this->lookUp(identifier);
        if (connection == nullptr || connection->controlBlock == nullptr) {
            return std::nullopt;
        }
        return summarize(*connection->controlBlock);
    }

    std::optional<TcpFlowState> exportState(std::uint64_t identifier)
    {
        const Connection* connection = this->lookUp(identifier);
        if (connection == nullptr || connection->controlBlock == nullptr || connection->peerClosed) {
            return std::nullopt;
        }
        tcp_pcb& block = *connection->controlBlock;
        const bool idle = block.unsent == nullptr && block.unacked == nullptr && block.ooseq == nullptr
            && block.refused_data == nullptr && block.snd_nxt == block.snd_lbb && block.snd_nxt == block.lastack;
        if (block.state != ESTABLISHED || !idle) {
            return std::nullopt;
        }
        if ((block.flags & (TF_ACK_DELAY | TF_ACK_NOW)) != 0) {
            tcp_ack_now(&block);
            tcp_output(&block);
        }
        TcpFlowState state;
        state.maximumSegmentSize = block.mss;
        state.receiveNext = block.rcv_nxt;
        state.receiveWindow = block.rcv_wnd;
        state.advertisedWindow = block.rcv_ann_wnd;
        state.advertisedRightEdge = block.rcv_ann_right_edge;
        state.sendNext = block.snd_nxt;
        state.windowUpdateSequence = block.snd_wl1;
        state.windowUpdateAcknowledgement = block.snd_wl2;
        state.sendWindow = block.snd_wnd;
        state.sendWindowMaximum = block.snd_wnd_max;
        state.congestionWindow = block.cwnd;
        state.slowStartThreshold = block.ssthresh;
        state.windowScaling = (block.flags & TF_WND_SCALE) != 0 ? 1 : 0;
        state.sendScale = block.snd_scale;
        state.receiveScale = block.rcv_scale;
        state.unread = this->readable(identifier);
        return state;
    }

    std::optional<std::uint64_t> importFlow(const Endpoint& local, const Endpoint& remote, const TcpFlowState& state)
    {
        const tcp_pcb* existing = this->find(local, remote);
        if (existing != nullptr && existing->state != TIME_WAIT) {
            return std::nullopt;
        }
        this->removeSilently(local, remote);
        tcp_pcb* block = tcp_new_ip_type(IPADDR_TYPE_V4);
        internalAssert(block != nullptr, "import flow", "out of memory");
        tcp_bind_netif(block, &this->interface);
        block->local_ip = toLwip(local.address);
        block->local_port = local.port;
        block->remote_ip = toLwip(remote.address);
        block->remote_port = remote.port;
        block->state = ESTABLISHED;
        ip_set_option(block, SOF_KEEPALIVE);
        block->mss = static_cast<u16_t>(state.maximumSegmentSize);
        block->rcv_nxt = state.receiveNext;
        block->rcv_wnd = state.receiveWindow;
        block->rcv_ann_wnd = state.advertisedWindow;
        block->rcv_ann_right_edge = state.advertisedRightEdge;
        block->snd_nxt = state.sendNext;
        block->snd_lbb = state.sendNext;
        block->lastack = state.sendNext;
        block->snd_wl1 = state.windowUpdateSequence;
        block->snd_wl2 = state.windowUpdateAcknowledgement;
        block->snd_wnd = state.sendWindow;
        block->snd_wnd_max = state.sendWindowMaximum;
        block->cwnd = state.congestionWindow;
        block->ssthresh = state.slowStartThreshold;
        block->snd_scale = static_cast<u8_t>(state.sendScale);
        block->rcv_scale = static_cast<u8_t>(state.receiveScale);
        if (state.windowScaling != 0) {
            tcp_set_flags(block, TF_WND_SCALE);
        }
        Connection& connection = this->attach(block);
        connection.received = state.unread;
        TCP_REG_ACTIVE(block);
        return connection.identifier;
    }

    std::vector<TcpFlowSummary> flows() const
    {
        std::vector<TcpFlowSummary> result;
        for (const tcp_pcb* list : { tcp_active_pcbs, tcp_tw_pcbs }) {
            for (const tcp_pcb* block = list; block != nullptr; block = block->next) {
                if (this->owns(*block)) {
                    result.push_back(summarize(*block));
                }
            }
        }
        return result;
    }

    std::size_t connectionCount() const { return this->connections.size() - this->lingeringCount; }

private:
    static Implementation& stackOf(void* argument)
    {
        return *static_cast<Implementation*>(static_cast<Connection*>(argument)->stack);
    }

    static err_t initializeInterface(netif* interface)
    {
        interface->name[0] = 'c';
        interface->name[1] = 'f';
        interface->mtu = maximumPacketBytes;
        interface->output = &Implementation::onOutput;
        return ERR_OK;
    }

    static err_t onOutput(netif* interface, pbuf* packet, const ip4_addr_t*)
    {
        auto& self = *static_cast<Implementation*>(interface->state);
        if (packet->next == nullptr) {
            self.outputHandler({ static_cast<const std::uint8_t*>(packet->payload), packet->len });
            return ERR_OK;
        }
        std::array<std::uint8_t, maximumPacketBytes> copy {};
        const u16_t length = pbuf_copy_partial(packet, copy.data(), copy.size(), 0);
        self.outputHandler({ copy.data(), length });
        return ERR_OK;
    }

    static err_t onAccept(void* argument, tcp_pcb* block, err_t error)
    {
        if (block == nullptr || error != ERR_OK) {
            return ERR_VAL;
        }
        auto& self = *static_cast<Implementation*>(argument);
        const Connection& connection = self.attach(block);
        self.events.emplace_back(TcpAccepted { connection.identifier, toEndpoint(block->local_ip, block->local_port),
            toEndpoint(block->remote_ip, block->remote_port) });
        return ERR_OK;
    }

    static err_t onConnected(void* argument, tcp_pcb*, err_t)
    {
        const auto* connection = static_cast<Connection*>(argument);
        stackOf(argument).events.emplace_back(TcpConnected { connection->identifier });
        return ERR_OK;
    }

    static err_t onReceive(void* argument, tcp_pcb* block, pbuf* data, err_t)
    {
        auto& connection = *static_cast<Connection*>(argument);
        Implementation& self = stackOf(argument);
        if (data == nullptr) {
            self.handlePeerClosed(connection);
            return ERR_OK;
        }
        if (connection.lingering) {
            tcp_recved(block, data->tot_len);
        } else {
            for (const pbuf* part = data; part != nullptr; part = part->next) {
                connection.received.append(static_cast<const char*>(part->payload), part->len);
            }
            if (!connection.readableQueued) {
                connection.readableQueued = true;
                self.events.emplace_back(TcpReadable { connection.identifier });
            }
        }
        pbuf_free(data);
        return ERR_OK;
    }

    static err_t onSent(void* argument, tcp_pcb*, u16_t)
    {
        auto& connection = *static_cast<Connection*>(argument);
        if (!connection.lingering && !connection.writableQueued) {
            connection.writableQueued = true;
            stackOf(argument).events.emplace_back(TcpWritable { connection.identifier });
        }
        return ERR_OK;
    }

    static void onError(void* argument, err_t)
    {
        auto& connection = *static_cast<Connection*>(argument);
        Implementation& self = stackOf(argument);
        connection.controlBlock = nullptr;
        if (connection.lingering) {
            self.lingeringCount -= 1;
            self.connections.erase(connection.identifier);
            return;
        }
        self.events.emplace_back(TcpEnded { connection.identifier });
    }

    bool owns(const tcp_pcb& block) const { return block.netif_idx == netif_get_index(&this->interface); }

    Connection& attach(tcp_pcb* block)
    {
        const std::uint64_t identifier = this->nextIdentifier++;
        auto connection = std::make_unique<Connection>();
        connection->identifier = identifier;
        connection->controlBlock = block;
        connection->stack = this;
        block->keep_idle = static_cast<u32_t>(keepaliveIdle.count());
        block->keep_intvl = static_cast<u32_t>(keepaliveInterval.count());
        block->keep_cnt = keepaliveProbes;
        tcp_nagle_disable(block);
        tcp_arg(block, connection.get());
        tcp_recv(block, &Implementation::onReceive);
        tcp_sent(block, &Implementation::onSent);
        tcp_err(block, &Implementation::onError);
        return *(this->connections[identifier] = std::move(connection));
    }

    // Unregisters the callbacks, so that lwIP handles the control block on its own, and returns it.
    tcp_pcb* detach(Connection& connection)
    {
        tcp_pcb* block = connection.controlBlock;
        connection.controlBlock = nullptr;
        if (block != nullptr) {
            tcp_arg(block, nullptr);
            tcp_recv(block, nullptr);
            tcp_sent(block, nullptr);
            tcp_err(block, nullptr);
        }
        return block;
    }

    // Closes both directions and removes the connection; lwIP completes the close.
    void closeFully(Connection& connection)
    {
        if (connection.lingering) {
            this->lingeringCount -= 1;
        }
        if (tcp_pcb* block = this->detach(connection)) {
            tcp_close(block);
        }
        this->connections.erase(connection.identifier);
    }

    void handlePeerClosed(Connection& connection)
    {
        if (!connection.lingering) {
            connection.peerClosed = true;
            this->events.emplace_back(TcpPeerClosed { connection.identifier });
            return;
        }
        this->lingeringCount -= 1;
        this->detach(connection);
        this->connections.erase(connection.identifier);
    }

    const Connection* lookUp(std::uint64_t identifier) const
    {
        const auto found = this->connections.find(identifier);
        return found == this->connections.end() || found->second->lingering ? nullptr : found->second.get();
    }

    Connection* lookUp(std::uint64_t identifier)
    {
        return const_cast<Connection*>(std::as_const(*this).lookUp(identifier));
    }

    // Handlers may call any function of the stack except input() and poll(), so events of connections that they closed
    // are skipped.
    void deliver()
    {
        while (!this->events.empty()) {
            const TcpEvent event = this->events.front();
            this->events.pop_front();
            const std::uint64_t identifier = std::visit([](const auto& each) { return each.connection; }, event);
            Connection* connection = this->lookUp(identifier);
            if (connection == nullptr) {
                continue;
            }
            if (std::holds_alternative<TcpReadable>(event)) {
                connection->readableQueued = false;
            } else if (std::holds_alternative<TcpWritable>(event)) {
                connection->writableQueued = false;
            } else if (std::holds_alternative<TcpEnded>(event)) {
                this->connections.erase(identifier);
            }
            this->eventHandler(event);
        }
    }

    void closeExpiredLingering(Clock::time_point now)
    {
        if (this->lingeringCount == 0) {
            return;
        }
        std::vector<Connection*> due;
        for (const auto& [identifier, connection] : this->connections) {
            if (connection->lingering && now >= connection->lingerEnd) {
                due.push_back(connection.get());
            }
        }
        for (Connection* connection : due) {
            this->closeFully(*connection);
        }
    }

    void abortTimedOutClosing()
    {
        std::vector<tcp_pcb*> due;
        for (tcp_pcb* block = tcp_active_pcbs; block != nullptr; block = block->next) {
            if (this->owns(*block) && block->callback_arg == nullptr && TCP_STATE_IS_CLOSING(block->state)
                && tcp_ticks - block->tmr > ticks(closingTimeout)) {
                due.push_back(block);
            }
        }
        for (tcp_pcb* block : due) {
            tcp_abort(block);
        }
    }

    void removeOldTimeWait()
    {
        std::vector<tcp_pcb*> due;
        std::size_t count = 0;
        for (tcp_pcb* block = tcp_tw_pcbs; block != nullptr; block = block->next) {
            if (!this->owns(*block)) {
                continue;
            }
            count += 1;
            if (count > timeWaitLimit || tcp_ticks - block->tmr > ticks(timeWaitDuration)) {
                due.push_back(block);
            }
        }
        for (tcp_pcb* block : due) {
            this->removeBlock(block);
        }
    }

    // Removes a control block of any state without a packet or an event.
    void removeBlock(tcp_pcb* block)
    {
        // A half-open block has the callback argument of its listener: this Implementation, not a Connection.
        if (block->state != SYN_RCVD && block->state != TIME_WAIT && block->callback_arg != nullptr) {
            auto& connection = *static_cast<Connection*>(block->callback_arg);
            this->detach(connection);
            if (connection.lingering) {
                this->lingeringCount -= 1;
            }
            this->connections.erase(connection.identifier);
        }
        // Otherwise lwIP sends a pending delayed acknowledgement when it removes the block.
        tcp_clear_flags(block, TF_ACK_DELAY);
        tcp_abandon(block, 0);
    }

    void removeOwn(tcp_pcb** list)
    {
        std::vector<tcp_pcb*> own;
        for (tcp_pcb* block = *list; block != nullptr; block = block->next) {
            if (this->owns(*block)) {
                own.push_back(block);
            }
        }
        for (tcp_pcb* block : own) {
            this->removeBlock(block);
        }
    }

    OutputHandler outputHandler;
    EventHandler eventHandler;
    netif interface {
    };
    std::map<Endpoint, tcp_pcb*> listeners;
    std::unordered_map<std::uint64_t, std::unique_ptr<Connection>> connections;
    std::size_t lingeringCount { 0 };
    std::deque<TcpEvent> events;
    std::uint64_t nextIdentifier { 1 };
    Clock::time_point nextHousekeeping;
};

TcpStack::TcpStack(OutputHandler output, EventHandler events)
    : implementation(std::make_unique<Implementation>(std::move(output), std::move(events)))
{
}

TcpStack::~TcpStack() = default;

void TcpStack::listen(const Endpoint& local) { this->implementation->listen(local); }

void TcpStack::stopListening(const Endpoint& local) { this->implementation->stopListening(local); }

std::uint64_t TcpStack::connect(const Endpoint& local, const Endpoint& remote)
{
    return this->implementation->connect(local, remote);
}

void TcpStack::input(std::span<const std::uint8_t> packet) { this->implementation->input(packet); }

void TcpStack::poll() { this->implementation->poll(); }

std::chrono::milliseconds TcpStack::nextTimeout() const { return this->implementation->nextTimeout(); }

std::string_view TcpStack::readable(std::uint64_t connection) const
{
    return this->implementation->readable(connection);
}

void TcpStack::consume(std::uint64_t connection, std::size_t bytes)
{
    this->implementation->consume(connection, bytes);
}

std::size_t TcpStack::write(std::uint64_t connection, std::string_view data)
{
    return this->implementation->write(connection, data);
}

std::size_t TcpStack::unacknowledged(std::uint64_t connection) const
{
    return this->implementation->unacknowledged(connection);
}

void TcpStack::close(std::uint64_t connection) { this->implementation->close(connection); }

void TcpStack::abort(std::uint64_t connection) { this->implementation->abort(connection); }

void TcpStack::sendReset(
    const Endpoint& local, const Endpoint& remote, std::uint32_t sequence, std::uint32_t acknowledgement)
{
    this->implementation->sendReset(local, remote, sequence, acknowledgement);
}

std::optional<TcpFlowPhase> TcpStack::phaseOf(const Endpoint& local, const Endpoint& remote) const
{
    const tcp_pcb* block = this->implementation->find(local, remote);
    if (block == nullptr) {
        return std::nullopt;
    }
    return phaseOfState(block->state);
}

std::optional<std::uint32_t> TcpStack::halfOpenAcknowledgement(const Endpoint& local, const Endpoint& remote) const
{
    const tcp_pcb* block = this->implementation->find(local, remote);
    if (block == nullptr || block->state != SYN_RCVD) {
        return std::nullopt;
    }
    return block->snd_nxt;
}

bool TcpStack::removeSilently(const Endpoint& local, const Endpoint& remote)
{
    return this->implementation->removeSilently(local, remote);
}

std::optional<TcpFlowSummary> TcpStack::flowOf(std::uint64_t connection) const
{
    return this->implementation->flowOf(connection);
}

std::optional<TcpFlowState> TcpStack::exportState(std::uint64_t connection)
{
    return this->implementation->exportState(connection);
}

std::optional<std::uint64_t> TcpStack::importFlow(
    const Endpoint& local, const Endpoint& remote, const TcpFlowState& state)
{
    return this->implementation->importFlow(local, remote, state);
}

std::vector<TcpFlowSummary> TcpStack::flows() const { return this->implementation->flows(); }

std::size_t TcpStack::connectionCount() const { return this->implementation->connectionCount(); }

}
