#pragma once

#include "Record.h"
#include "Store.h"
#include "Udp.h"
#include "Wire.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <thread>

namespace review {

struct HostPlan {
    std::string id;
    std::string service;
    std::string zone;
    Address app;
    Address outbound; // of the agent on the same machine
    std::uint32_t slots { 2 };
    Milliseconds work { 15 };
    Milliseconds cold { 2000 }; // how long the host is slow after its start
    Milliseconds heartbeat { 770 };
    Milliseconds clockError { 0 }; // of the machine's time of day when the host starts
};

// What happened to a request at a host.
struct HostEvent {
    enum class Kind { Packet, Opened, Started, Finished };
    Kind kind;
    std::string host;
    std::string request;
    Address caller; // of the flow
    Clock::time_point at;
    bool held; // the host holds the flow
};

// Stand-in of a host: registers in the store and serves requests, one at a time on each flow.
class Host {
public:
    using Observer = std::function<void(const HostEvent&)>;

    Host(HostPlan, Store&, Record&, Observer);
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    // Reports `draining`. Returns when the store has accepted the report.
    void drain();

    // Ends the host: open flows and requests in progress are discarded, the entry is removed from the store.
    void exit();

    // Ends the host without a word: its entry stays.
    void crash();

    const HostPlan& description() const { return this->plan; }

private:
    struct Flow {
        Address caller;
        Address service;
        std::uint32_t ownSequence { 0 }; // of the SYN+ACK
        std::uint32_t nextSequence { 0 }; // of the next byte that the host sends
        std::uint32_t expected { 0 }; // the next sequence number of the caller
        bool open { false };
        bool requestTaken { false }; // and not answered yet
        bool closes { false }; // after the answer
        std::string request;
        std::optional<Clock::time_point> finishAt; // while the request runs
        std::optional<Packet> answer; // until the caller has acknowledged it
        Clock::time_point nextTransmission;
        int transmissions { 0 };
        bool finished { false }; // the host has sent its FIN
        bool ended { false }; // both ends have sent a FIN
    };

    using FlowId = std::pair<Address, Address>; // caller, service

    void run();
    void ping(Clock::time_point now, bool force);
    std::string entry(Clock::time_point now) const;
    void handle(const Packet&, const Bytes&);
    void handleFirst(const Packet&, const Bytes&);
    void bounce(Bytes) const;
    void startRequests(Clock::time_point now);
    void finishRequests(Clock::time_point now);
    void retransmit(Clock::time_point now);
    void reply(const Flow&, std::uint32_t sequence, std::uint8_t flags, const std::string& payload) const;
    void observe(HostEvent::Kind, const Flow&) const;
    void takeRequest(Flow&, const FlowId&, const Packet&);

    HostPlan plan;
    Store& store;
    Record& record;
    Observer observer;
    Udp socket;
    Clock::time_point startedAt { Clock::now() };
    std::int64_t born;
    std::mt19937 random;
    std::map<FlowId, Flow> flows;
    std::deque<FlowId> waiting;
    std::uint32_t running { 0 };
    std::string lastEntry;
    Clock::time_point nextPing;
    std::atomic<bool> draining { false };
    std::atomic<bool> drainWritten { false };
    std::atomic<bool> stopping { false };
    std::thread thread;
};

}
