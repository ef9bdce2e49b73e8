#pragma once

#include <string>
#include <vector>

namespace chicoryferry {

// Runs the command named by the first argument: balancer, agent, check, plan, status or version.
// Returns the exit status. Throws UserError for wrong usage.
int runCommand(const std::vector<std::string>& arguments);

// check FILE: validates a configuration document and prints each fault with its path. Returns 0 when there is none,
// otherwise 1.
int runCheck(const std::vector<std::string>& arguments);

// plan OLD NEW: prints for each service the hosts gained, lost and draining, and the share of flows whose owner changes
// with the new configuration.
int runPlan(const std::vector<std::string>& arguments);

// status ENDPOINT...: prints the /v1/status of each process and whether all hold the same configuration version.
// Returns 0 when all answered and hold the same version, otherwise 1.
int runStatus(const std::vector<std::string>& arguments);

// Runs a balancer until SIGTERM or SIGINT.
int runBalancer(const std::vector<std::string>& arguments);

// Runs an agent until SIGTERM or SIGINT, then drains.
int runAgent(const std::vector<std::string>& arguments);

}
