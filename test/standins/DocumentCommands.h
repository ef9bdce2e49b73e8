#pragma once

#include <string>
#include <vector>

namespace chicoryferry::standins {

// Prints "NAME SERVICE AVAILABILITY_ZONE SLOTS" for the first hosts of each service of a configuration document.
// Options: --configuration FILE, --per-service COUNT.
int runListHosts(const std::vector<std::string>& arguments);

// Inserts the addresses of started processes into a configuration document. Reads lines "host NAME DATA PEER ADMIN" and
// "balancer NAME AVAILABILITY_ZONE DATA PEER ADMIN" from standard input; hosts without a line are left out.
// Options: --configuration FILE, --output DIRECTORY, where configuration.json and instances.json are written.
int runFillDocument(const std::vector<std::string>& arguments);

}
