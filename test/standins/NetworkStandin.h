#pragma once

#include <string>
#include <vector>

namespace chicoryferry::standins {

// Runs the simulated network fabric and the client entry until SIGTERM or SIGINT. Options: --listen (control),
// --data-address (UDP, where agents send packets for callers). Prints
// {"event":"listening","address":control,"data":UDP}.
//
// Control: PUT /control/balancers {"balancers":[addresses]}, PUT /control/entries (see ClientEntry),
// PUT /control/faults (see FabricFaults), GET /control/counts.
int runNetworkStandin(const std::vector<std::string>& arguments);

}
