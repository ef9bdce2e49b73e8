#pragma once

#include "Loop.h"
#include "Record.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace review {

// What a caller does with one flow, and what came of it.
struct Call {
    std::string id;
    // Pause before each request: the first one since the handshake, a later one since the answer before.
    std::vector<milliseconds> pauses { milliseconds(0) };
    milliseconds budget { 1200 }; // of each request

    FlowEnds ends;
    Address balancer; // that the first packet went to
    milliseconds startedAt { 0 };
    bool opened { false };
    std::size_t answered { 0 };
    std::size_t sent { 0 }; // requests
    bool resetBySystem { false };
    bool resetByHost { false };
    bool ended { false };
};

// Opens flows as the users' pages describe it and sends requests that may run once at most.
class Caller {
public:
    using Router = std::function<Address(const FlowEnds&)>;

    // address: of the caller's machine, with the port at which it receives packets. router: selects the balancer for
    // each packet.
    Caller(Loop&, Record&, const Address& address, const Address& route, Router router);

    Call& start(Call);
    const std::vector<std::unique_ptr<Call>>& calls() const { return this->allCalls; }
    // Called when a flow that is open gets a reset of the system's own.
    void onReset(std::function<void(const Call&)> handler) { this->resetHandler = std::move(handler); }

private:
    struct Flow {
        Call* call { nullptr };
        std::uint32_t firstSequence { 0 };
        std::uint32_t sendNext { 0 };
        std::uint32_t receiveNext { 0 };
        std::string pending; // request that the host has not answered
        std::uint32_t pendingSequence { 0 };
        std::size_t number { 0 }; // of requests begun
    };

    void receive();
    void handle(const Packet&);
    void handleReset(Flow&, const Packet&);
    void handleAnswer(Flow&, const Packet&);
    void sendOpening(std::uint16_t port, std::uint32_t copy);
    void scheduleRequest(std::uint16_t port);
    void sendRequest(std::uint16_t port);
    void retransmit(std::uint16_t port, std::size_t number, milliseconds interval);
    void send(const Flow&, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
        const std::string& data = "");

    Loop& loop;
    Record& record;
    Address address;
    Address route;
    Router router;
    int socket;
    std::mt19937 random { 7122026 };
    std::uint16_t nextPort { 20001 };
    std::map<std::uint16_t, Flow> flows;
    std::vector<std::unique_ptr<Call>> allCalls;
    std::function<void(const Call&)> resetHandler;
};

}
