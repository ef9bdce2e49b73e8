#pragma once

#include "protocol/WeightedService.h"

#include <string>
#include <variant>
#include <vector>

namespace chicoryferry {

// Where a route sends its new flows: to one service, or to several by weight.
using RouteTarget = std::variant<std::string, std::vector<WeightedService>>;

}
