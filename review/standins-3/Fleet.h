#pragma once

// A small deployment on loopback addresses for the cases of the third review: the project's own programs as processes,
// and stand-ins for the platform's store, routers, servers and consumers. One thread, one poll loop, the real clock.

#include <chrono>
#include <cstdint>
#include <deque>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

using Bytes = std::vector<std::uint8_t>;
using Milliseconds = std::int64_t; // since the start of the driver, of the steady clock

struct Address {
    std::uint32_t ip { 0 };
    std::uint16_t port { 0 };
    auto operator<=>(const Address&) const = default;
};

std::string text(const Address&);
std::string ipText(std::uint32_t ip);

constexpr std::uint16_t packetPort = 8172;
constexpr std::uint16_t readyPort = 8167;
constexpr std::uint16_t outboundPort = 8162;
constexpr std::uint16_t appPort = 8165;
constexpr std::uint16_t storePort = 8169;

struct Packet {
    static constexpr std::uint8_t syn = 2;
    static constexpr std::uint8_t bounced = 8;
    static constexpr std::uint8_t rst = 32;
    static constexpr std::uint8_t ack = 64;
    static constexpr std::uint8_t fin = 128;

    std::uint32_t sum { 0 };
    std::uint32_t seq { 0 };
    std::uint32_t acknowledged { 0 };
    Address destination;
    Address source;
    std::uint8_t flags { 0 };
    std::string payload;

    bool has(std::uint8_t flag) const { return (this->flags & flag) != 0; }
    Bytes encode() const;
    static bool decode(const Bytes&, Packet&);
};

// Poll loop with timers.
class Loop {
public:
    Milliseconds now() const;
    void at(Milliseconds due, std::function<void()> action) { this->timers.emplace(due, std::move(action)); }
    void after(Milliseconds delay, std::function<void()> action) { this->at(this->now() + delay, std::move(action)); }
    void watch(int descriptor, short events, std::function<void(short)> action);
    void forget(int descriptor) { this->watched.erase(descriptor); }
    void runUntil(
        Milliseconds end, const std::function<bool()>& done = [] { return false; });

private:
    struct Watched {
        short events;
        std::function<void(short)> action;
    };
    std::chrono::steady_clock::time_point start { std::chrono::steady_clock::now() };
    std::multimap<Milliseconds, std::function<void()>> timers;
    std::map<int, std::shared_ptr<Watched>> watched;
};

class Record {
public:
    Record(Loop& eventLoop, const std::string& path)
        : loop(eventLoop)
        , file(path)
    {
    }
    void line(const std::string& what);

private:
    Loop& loop;
    std::ofstream file;
};

int openUdp(const Address&);
void sendUdp(int descriptor, const Address& to, const Bytes&);

// The platform's metadata store. Each machine has an address of its own for it, so that single machines can be turned
// away.
class Store {
public:
    enum class Door {
        Open,
        Silent, // takes connections and gives no response, on those that are open either
    };

    explicit Store(Loop& eventLoop)
        : loop(eventLoop)
    {
    }
    void listen(const Address&);
    void setDoor(std::uint32_t ip, Door);
    // Writes an item. `significant` is the part of the value whose change counts; the value is stored if it changes.
    void write(const std::string& key, const std::string& value, const std::string& significant);
    void remove(const std::string& key);
    bool isAway() const { return this->away; }
    // The store is away: it answers no call. It then comes back from the copy and answers those that are open; the era
    // rises by one.
    void keepCopy() { this->copy = { this->items, this->events, this->revision }; }
    void goAway();
    void comeBackFromCopy();
    // Addresses at which a watch waits now.
    std::set<std::uint32_t> watchers() const;

private:
    struct Item {
        std::string value;
        std::string significant;
        std::uint64_t revision { 0 };
        std::uint64_t created { 0 };
    };
    struct Event {
        std::uint64_t revision { 0 };
        std::string key;
        bool tombstone { false };
        Item item;
    };
    struct State {
        std::map<std::string, Item> items;
        std::deque<Event> events;
        std::uint64_t revision { 0 };
    };
    struct Connection {
        int descriptor;
        std::uint32_t door;
        std::string input;
        bool waiting { false };
        std::uint64_t after { 0 };
        Milliseconds deadline { 0 };
    };
    void accept(int listener, std::uint32_t ip);
    void read(int descriptor);
    void handle(Connection&);
    void answerWatches();
    bool answerWatch(Connection&);
    void answer(Connection&, int status, const std::string& body);
    void close(int descriptor);

    Loop& loop;
    std::map<std::uint32_t, Door> doors;
    std::map<int, std::shared_ptr<Connection>> connections;
    std::map<std::string, Item> items;
    std::deque<Event> events;
    std::uint64_t revision { 10 };
    std::uint64_t era { 1 };
    State copy;
    bool away { false };
};

// A server: holds flows, runs requests in its slots and writes its entry to the store.
class Server {
public:
    struct Run {
        std::string request;
        Milliseconds openedBy; // when the first packet of the flow arrived here
        Milliseconds started;
        bool answered { false };
    };

    Server(Loop&, Record&, Store&, std::string id, std::string service, std::uint32_t ip, unsigned seed);
    ~Server();
    Server(const Server&) = delete;
    Server& operator=(const Server&) = delete;

    void beat();
    void drain();
    // Ends the process of the server: its flows are gone, and its entry is removed.
    void leave();
    // Crashes: its flows are gone and it is silent. `restart` starts it again.
    void crash();
    void restart();

    bool isAlive() const { return this->alive; }
    bool isDraining() const { return this->draining; }
    const std::vector<Run>& runs() const { return this->ran; }
    std::size_t busy() const { return this->working; }
    const std::string& name() const { return this->id; }
    const std::string& serves() const { return this->service; }
    // Whether the server has the end of the handshake of the flow.
    bool holdsOpen(const Address& consumer, const Address& route) const;

    Milliseconds workMs { 17 };
    unsigned slots { 2 };
    Milliseconds heartbeatMs { 770 };
    Milliseconds coldUntil { 0 };

private:
    struct Flow {
        std::uint32_t seq { 0 }; // of the first packet sent
        std::uint32_t next { 0 }; // expected from the consumer
        std::uint32_t sent { 0 }; // next to send
        bool open { false };
        bool finished { false };
        Milliseconds arrived { 0 };
        std::string answer; // not acknowledged yet
        std::string pending; // id of the request in work
        int tries { 0 };
    };
    using Key = std::pair<Address, Address>; // consumer, route
    void receive();
    void handle(const Packet&);
    void send(const Key&, const Flow&, std::uint8_t flags, std::uint32_t seq, const std::string& payload);
    void startWork();
    void finishWork(const Key&, std::size_t run);
    void repeatAnswer(const Key&, std::uint32_t seq, Milliseconds delay);

    Loop& loop;
    Record& record;
    Store& store;
    std::string id;
    std::string service;
    std::uint32_t ip;
    std::mt19937 random;
    int socket;
    bool alive { true };
    bool draining { false };
    std::uint64_t lifetime { 0 };
    std::uint64_t beats { 0 };
    std::map<Key, Flow> flows;
    std::deque<Key> queue;
    std::size_t working { 0 };
    std::vector<Run> ran;
};

// A process of the project, started with the command of the deploy file.
class Node {
public:
    Node(Loop&, Record&, std::string name, std::string role, std::string settings, std::string folder);
    ~Node();
    Node(const Node&) = delete;
    Node& operator=(const Node&) = delete;
    void start();
    void signal(int number) const;
    // Whether the process has ended; it is reaped.
    bool hasEnded();
    void setRestart(bool enabled) { this->restarts = enabled; }
    void setSettings(std::string next) { this->settings = std::move(next); }
    const std::string& name() const { return this->label; }
    // Number of processes that ended without a signal from this driver.
    int ownEnds() const { return this->unexpected; }

private:
    void poll();
    Loop& loop;
    Record& record;
    std::string label;
    std::string role;
    std::string settings;
    std::string folder;
    pid_t process { 0 };
    bool restarts { true };
    mutable bool signalled { false };
    int unexpected { 0 };
};

// The platform's routers of one zone: probe the nodes and hash flows over those in rotation.
class Router {
public:
    Router(Loop& eventLoop, std::vector<std::uint32_t> addresses)
        : loop(eventLoop)
    {
        for (const std::uint32_t ip : addresses) {
            this->nodes.push_back({ ip });
        }
    }
    void start();
    // The node that takes the packets of the flow.
    std::uint32_t select(const Address& consumer, const Address& route) const;
    bool isInRotation(std::uint32_t ip) const;
    std::size_t inRotation() const;

private:
    struct Node {
        std::uint32_t ip;
        bool rotating { false };
        int misses { 0 };
    };
    void probe(std::size_t index);
    Loop& loop;
    std::vector<Node> nodes;
};

// The consumers behind one address.
class Consumers {
public:
    enum class End { None, Reset, NoAnswer, TimedOut, Closed };
    struct Request {
        std::string id;
        Milliseconds sent { 0 };
        Milliseconds answered { -1 };
        int status { 0 };
        End end { End::None };
    };
    struct Flow {
        Address consumer;
        Address route;
        bool open { false };
        Milliseconds started { 0 };
        Milliseconds opened { -1 };
        Milliseconds ended { -1 };
        End end { End::None };
        std::vector<Request> requests;
        std::uint32_t firstNode { 0 }; // that took the first packet
        std::uint32_t lastNode { 0 };
        Milliseconds pause { 0 }; // between requests; 0: one request
        std::uint32_t seq { 0 };
        std::uint32_t next { 0 };
        std::uint32_t sent { 0 };
        std::string pending;
        std::string input;
    };

    Consumers(Loop&, Record&, Router&, std::uint32_t ip, unsigned seed);
    ~Consumers();
    Consumers(const Consumers&) = delete;
    Consumers& operator=(const Consumers&) = delete;

    // Opens a flow; with a pause it stays open and sends a request after each pause.
    std::size_t open(const Address& route, Milliseconds pause);
    void close(std::size_t flow);
    const std::deque<Flow>& all() const { return this->flows; }

    Milliseconds budgetMs { 1200 };
    bool closesOnTimeout { true }; // tells the server when it gives up
    std::function<void(Flow&)> onReset; // called for a reset of the system's own that ends a flow

private:
    void receive();
    void handle(Flow&, std::size_t index, const Packet&);
    void send(Flow&, std::uint8_t flags, std::uint32_t seq, std::uint32_t acknowledged, const std::string& payload);
    void sendSyn(std::size_t index, std::uint32_t copy);
    void request(std::size_t index);
    void repeat(std::size_t index, std::size_t number, Milliseconds delay);
    void finish(Flow&, End);

    Loop& loop;
    Record& record;
    Router& router;
    std::uint32_t ip;
    std::mt19937 random;
    int socket;
    std::uint16_t nextPort { 20000 };
    std::uint64_t nextRequest { 1 };
    std::deque<Flow> flows;
    std::map<std::uint16_t, std::size_t> byPort;
};

// The folder, the addresses and the parts of one run.
class Deployment {
public:
    Deployment(std::size_t balancers, const std::string& recordPath);
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    // Adds a machine with a server and an agent. `first`: it starts together with the whole system.
    Server& addServer(const std::string& service, bool first);
    std::uint32_t serverIp(std::size_t index) const { return this->network + 60 + static_cast<std::uint32_t>(index); }
    std::uint32_t balancerIp(std::size_t index) const { return this->network + 1 + static_cast<std::uint32_t>(index); }
    std::uint32_t storeIp(std::size_t index) const { return this->network + 120 + static_cast<std::uint32_t>(index); }
    // Writes a configuration with one route for each service.
    void configure(std::uint64_t version, const std::vector<std::pair<Address, std::string>>& routes);
    void startAll();
    // Waits until the router has all balancers in rotation.
    bool waitUntilReady(Milliseconds limit);
    // Indices of the balancers in the order in which they are chosen to read the store.
    std::vector<std::size_t> readerOrder() const;
    bool processesEndedByThemselves() const;

    Loop loop;
    Record record;
    Store store { loop };
    std::unique_ptr<Router> router;
    std::vector<std::unique_ptr<Node>> balancers;
    std::vector<std::unique_ptr<Node>> agents;
    std::vector<std::unique_ptr<Server>> servers;
    std::unique_ptr<Consumers> consumers;

private:
    std::string settings(const std::string& name, const std::string& kind, std::uint32_t ip, std::uint32_t store,
        const std::string& service, bool first) const;
    std::string folder;
    std::uint32_t network { 0 };
    bool bootstrapping { true };
};

// Whether the run is to have its disruption.
bool hasTrouble();

}
