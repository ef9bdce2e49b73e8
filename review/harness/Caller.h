#pragma once

#include "Record.h"
#include "Udp.h"
#include "Wire.h"

#include <atomic>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace review {

// One attempt of a caller: a request on a flow of its own.
struct Attempt {
    enum class Result { Pending, Answered, Reset, NeverOpened, NoAnswer };

    std::string request;
    Address service;
    Address caller;
    Clock::time_point sentAt; // of the first SYN
    Clock::time_point endedAt;
    Result result { Result::Pending };
    bool resetBySystem { false };
    bool opened { false }; // a SYN+ACK has arrived
    std::string answer;
};

std::string resultName(Attempt::Result);

// Stand-in of the consumers at one address. Sends each packet to the balancer that the router selects.
class Caller {
public:
    using Router = std::function<Address(const Address& caller)>; // returns a balancer's datagram address

    // timeBudget: of a request, from the first SYN.
    Caller(const Address&, Milliseconds timeBudget, Record&, Router);
    ~Caller();
    Caller(const Caller&) = delete;
    Caller& operator=(const Caller&) = delete;

    void send(const std::string& request, const std::string& method, const Address& service);

    // Waits until no attempt is pending.
    void finish();

    std::vector<Attempt> attempts() const;

private:
    struct Flow {
        Attempt attempt;
        std::string payload;
        std::uint32_t sequence { 0 }; // of the SYN
        std::uint32_t expected { 0 }; // the next sequence number of the host
        bool requestAcknowledged { false };
        int transmissions { 0 };
        Clock::time_point nextTransmission;
    };

    // A datagram on its way between the caller and the system.
    struct Transit {
        Clock::time_point arrival;
        Bytes bytes;
    };

    void run();
    void receive(Clock::time_point now);
    void deliver(Clock::time_point now);
    void handle(const Packet&);
    void transmit(Flow&, Clock::time_point now);
    void emit(const Flow&, std::uint32_t sequence, std::uint32_t acknowledgement, std::uint8_t flags,
        const std::string& payload) const;
    void end(Flow&, Attempt::Result, Clock::time_point now);

    Address address;
    Milliseconds timeBudget;
    Record& record;
    Router router;
    Udp socket;
    std::mt19937 random;
    mutable std::mutex mutex;
    std::map<std::uint16_t, Flow> flows; // by the caller's port
    mutable std::deque<Transit> outgoing;
    std::deque<Transit> incoming;
    std::uint16_t nextPort { 40001 };
    std::atomic<bool> stopping { false };
    std::thread thread;
};

}
