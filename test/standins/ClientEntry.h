#pragma once

#include "protocol/Endpoint.h"

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>

namespace chicoryferry::standins {

class ClientStack;
class RelayedConnection;
class StandinLoop;
enum class ConnectionEnd;

// Listens on loopback TCP for each pair of caller address and service, and relays accepted connections over the
// client stack.
class ClientEntry {
public:
    // References must outlive this object.
    ClientEntry(StandinLoop&, ClientStack&);
    ~ClientEntry();
    ClientEntry(const ClientEntry&) = delete;
    ClientEntry& operator=(const ClientEntry&) = delete;

    // Takes {"entries":[{"caller":"10.9.0.1","service":"10.1.0.1:80"}]} and returns them with the "address" listened
    // on. Entries that were listened on before keep their address; those that are not listed stop accepting.
    nlohmann::json configure(const nlohmann::json&);

    // Numbers of connections: open, accepted, closed by both sides, reset by the service and reset by the client.
    nlohmann::json counts() const;

private:
    struct Listener {
        int descriptor { -1 };
        Endpoint address;
    };
    using ListenerKey = std::pair<std::uint32_t, Endpoint>;

    Listener openListener(const ListenerKey&);
    void acceptWaiting(int listener, const ListenerKey&);
    void connectionEnded(RelayedConnection&, ConnectionEnd);

    StandinLoop& loop;
    ClientStack& stack;
    std::map<ListenerKey, Listener> listeners;
    std::map<RelayedConnection*, std::unique_ptr<RelayedConnection>> connections;
    std::uint64_t accepted { 0 };
    std::uint64_t closed { 0 };
    std::uint64_t resetByService { 0 };
    std::uint64_t resetByClient { 0 };
};

}
