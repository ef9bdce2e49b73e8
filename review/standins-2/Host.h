#pragma once

#include "Loop.h"
#include "Record.h"

#include <functional>
#include <map>
#include <random>
#include <string>

namespace review {

// An application host as the users' pages describe it. It receives packets from the agent on its machine and sends its
// own to the agent. Each flow serves one request after the other; each answer is one packet.
class Host {
public:
    // A run of a request: its id and the flow.
    using RunHandler = std::function<void(const FlowEnds&, const std::string& request)>;
    using SynHandler = std::function<void(const FlowEnds&)>;

    Host(Loop&, Record&, std::string id, const Address& application, const Address& outbound, milliseconds work);
    ~Host();
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    void onRun(RunHandler handler) { this->runHandler = std::move(handler); }
    void onOpeningPacket(SynHandler handler) { this->synHandler = std::move(handler); }

    const std::string& name() const { return this->id; }
    bool isRunning() const { return this->socket >= 0; }
    // Whether the host has the end of the flow's handshake, and the flow has not ended.
    bool holdsOpen(const FlowEnds&) const;

    // The process ends: its flows are gone, and packets for it are lost.
    void exit();

private:
    enum class State {
        HalfOpen,
        Open,
        Ended,
    };
    struct Flow {
        State state { State::HalfOpen };
        std::uint32_t firstSequence { 0 };
        std::uint32_t sendNext { 0 };
        std::uint32_t receiveNext { 0 };
        bool finished { false };
        std::string lastAnswer; // not acknowledged yet
        std::uint32_t lastAnswerSequence { 0 };
    };

    void receive();
    void handle(const Packet&);
    void handleOpening(const FlowEnds&, const Packet&);
    void handleData(const FlowEnds&, Flow&, const Packet&);
    void answer(const FlowEnds&, const std::string& request);
    void retransmit(const FlowEnds&, std::uint32_t sequence, int attempt, milliseconds interval);
    void send(const FlowEnds&, std::uint8_t flags, std::uint32_t sequence, std::uint32_t acknowledgement,
        const std::string& data = "");
    void giveBack(const Packet&);

    Loop& loop;
    Record& record;
    std::string id;
    Address outbound;
    milliseconds work;
    int socket;
    std::mt19937 random { 20261207 };
    std::map<FlowEnds, Flow> flows;
    RunHandler runHandler;
    SynHandler synHandler;
};

}
