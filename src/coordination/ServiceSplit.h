#pragma once

#include "protocol/RouteTarget.h"
#include "state/FlowKey.h"

#include <string_view>
#include <vector>

namespace chicoryferry {

// Returns the services that may serve a new flow of a route, the preferred one first. Each service of a weighted route
// is preferred for its share of the flows. The order depends only on the target and the flow, so that all balancers
// agree on it and a retransmission is not split again. Services with a weight of 0 are left out. The result refers to
// the target.
std::vector<std::string_view> rankServices(const RouteTarget&, const FlowKey&);

}
