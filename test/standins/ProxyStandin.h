#pragma once

#include <string>
#include <vector>

namespace chicoryferry::standins {

// Runs a proxy that relays traffic to named processes until SIGTERM or SIGINT. Options: --listen (control).
// Prints {"event":"listening","address":control}.
//
// Control: PUT /control/relay {"name": name of the relay, "protocol": "udp", "tcp" or "messages", "target": address}
// opens a relay in front of the target and returns its "address"; PUT /control/rules (see ProxyRules); GET
// /control/counts. With "messages" the relay identifies the sender and the kind of each message between agents.
int runProxyStandin(const std::vector<std::string>& arguments);

}
