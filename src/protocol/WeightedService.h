#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace chicoryferry {

// One service of a route whose new flows are split. Its share is its weight divided by the sum of the weights of the
// set, which need not be 100; a weight of 0 means no new flows.
struct WeightedService {
    std::string service;
    std::uint32_t weight { 0 };

    auto operator<=>(const WeightedService&) const = default;
};

}
