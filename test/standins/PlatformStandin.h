#pragma once

#include <string>
#include <vector>

namespace chicoryferry {

// Runs the stand-in for the platform's configuration service until SIGTERM or SIGINT. Arguments: --listen a.b.c.d:port
// (port 0: chosen by the kernel). Prints {"event":"listening","address":"..."} on standard error. Returns the exit
// status.
//
// Reads:    GET /v1/configuration?after=N&wait=SECONDS, GET /v1/instances?after=N&wait=SECONDS
// Controls: PUT /control/configuration, PUT /control/instances (body: the document, stored without validation)
//           PUT /control/outage (on: reads answer 503; hang: reads get no answer; off)
//           PUT /control/stale (version: reads of the configuration answer that stored version regardless of `after`;
//           off)
//           GET /control/calls ({"/v1/configuration":n,"/v1/instances":n})
int runPlatformStandin(const std::vector<std::string>& arguments);

}
