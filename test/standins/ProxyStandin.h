#pragma once

#include <string>
#include <vector>

namespace chicoryferry::standins {

// Runs a relay between named parties until SIGTERM. Options: --listen (control).
// Prints {"event":"listening","address":control}.
//
// Control: PUT /control/relay {"name": party, "protocol": "udp", "tcp" or "messages", "target": address} opens a relay
// in front of a party and returns its "address"; PUT /control/rules (see ProxyRules); GET /control/counts.
// With "messages" the relay knows the sender and the kind of each message between agents.
int runProxyStandin(const std::vector<std::string>& arguments);

}
