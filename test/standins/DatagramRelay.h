#pragma once

#include "ProxyRules.h"
#include "StandinLoop.h"
#include "protocol/Endpoint.h"

#include <map>
#include <string>

namespace chicoryferry::standins {

// Relays datagrams to one target and back. Each sender gets its own socket towards the target, so that
// answers can be returned to it.
class DatagramRelay {
public:
    // References must outlive this object. Throws UserError when no address can be bound.
    DatagramRelay(StandinLoop&, ProxyRules&, std::string relayName, const Endpoint& targetAddress);
    ~DatagramRelay();
    DatagramRelay(const DatagramRelay&) = delete;
    DatagramRelay& operator=(const DatagramRelay&) = delete;

    Endpoint address() const;

private:
    void receiveFromSenders();
    void receiveFromTarget(int descriptor, const Endpoint& sender);
    int socketFor(const Endpoint& sender);
    void forward(int descriptor, const Endpoint& to, const std::string& bytes, bool fromTarget);

    StandinLoop& loop;
    ProxyRules& rules;
    std::string name;
    Endpoint target;
    int descriptor;
    std::map<Endpoint, int> sockets;
};

}
