#include "protocol/Service.h"

#include <xxhash.h>

namespace chicoryferry {

namespace {

const Route defaultRoute;

bool matches(const Route& route, const std::string& method, const std::string& target)
{
    return (route.method.empty() || route.method == method) && target.starts_with(route.path);
}

bool isMoreSpecific(const Route& candidate, const Route& best)
{
    if (candidate.path.size() != best.path.size()) {
        return candidate.path.size() > best.path.size();
    }
    return best.method.empty() && !candidate.method.empty();
}

}

const Route& Service::routeFor(const std::string& method, const std::string& target) const
{
    const Route* best = nullptr;
    for (const Route& route : this->routes) {
        if (matches(route, method, target) && (!best || isMoreSpecific(route, *best))) {
            best = &route;
        }
    }
    return best ? *best : defaultRoute;
}

std::uint64_t serviceId(const std::string& name) { return XXH3_64bits(name.data(), name.size()); }

}
