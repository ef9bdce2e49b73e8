#pragma once

#include <string>
#include <vector>

namespace chicoryferry::standins {

// Runs an HTTP/1.1 backend server until SIGTERM. Options: --listen, --service, --host, --slots.
// Prints {"event":"listening","address":...}.
//
// A target's query sets what happens: run=20ms (run time), size=1000 (bytes of the answer's body), status=500,
// chunked=1, cut=N (reset after N bytes of the body), stall=N (no more after N bytes), pace=N (bytes a second).
// The body is AnswerContent of service, target and request body.
//
// Control on the same address: GET /control/runs, PUT /control/settings {service, slots, queueLimit, draining,
// shedding, frozen, speed, coldFactor, coldMs, falseLoad (null: the truth), loadLagMs}, GET /control/state. GET /health
// and GET /load as a backend server offers them.
int runBackendStandin(const std::vector<std::string>& arguments);

}
