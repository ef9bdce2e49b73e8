#pragma once

#include "MessageFrames.h"
#include "ProxyRules.h"
#include "StandinLoop.h"
#include "protocol/Endpoint.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace chicoryferry::standins {

// Relays TCP connections to one target. Messages of ZeroMQ connections are classified by sender and kind, so that a
// rule can drop or delay individual ones; a connection whose bytes are dropped stays open on both sides.
class StreamRelay {
public:
    // References must outlive this object. Throws UserError when no address can be bound.
    StreamRelay(
        StandinLoop&, ProxyRules&, std::string relayName, const Endpoint& targetAddress, bool splitIntoMessages);
    ~StreamRelay();
    StreamRelay(const StreamRelay&) = delete;
    StreamRelay& operator=(const StreamRelay&) = delete;

    Endpoint address() const;

private:
    struct Side {
        int descriptor { -1 };
        std::string output;
        bool finished { false }; // its input has ended
    };
    struct Connection {
        Side source;
        Side target;
        MessageFrames frames;
        std::string sender;
        bool closed { false };
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    void acceptWaiting();
    void watchSide(const ConnectionPointer&, bool fromSource);
    void handleEvents(const ConnectionPointer&, bool fromSource, std::uint32_t events);
    void readSide(const ConnectionPointer&, bool fromSource);
    void forward(const ConnectionPointer&, bool toTarget, const std::string& bytes, const ProxiedItem&);
    void writeSide(const ConnectionPointer&, bool toTarget);
    // Takes the pointer by value: removing the event handlers, which own the connection, must not delete it during the
    // call.
    void close(ConnectionPointer);

    StandinLoop& loop;
    ProxyRules& rules;
    std::string name;
    Endpoint target;
    bool splitMessages;
    int listener;
    std::map<Connection*, ConnectionPointer> connections;
};

}
