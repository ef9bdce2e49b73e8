#pragma once

#include "protocol/Endpoint.h"
#include "protocol/Route.h"

#include <cstdint>
#include <string>
#include <vector>

namespace chicoryferry {

// A service that callers reach at one address and port. Source: configuration document.
struct Service {
    std::string name;
    Endpoint endpoint;
    std::vector<Route> routes;
    std::uint64_t id { 0 }; // XXH3 of the name

    // The route with the longest path prefix that matches; a route that names the method wins over one that does not.
    // Falls back to the default Route.
    const Route& routeFor(const std::string& method, const std::string& target) const;
};

// The identifier of a service name in envelopes: its XXH3 hash.
std::uint64_t serviceId(const std::string& name);

}
