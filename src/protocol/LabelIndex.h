#pragma once

#include "protocol/Host.h"
#include "protocol/Selector.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

// Finds the hosts that a selector matches without looking at every host: at the design size thousands of selectors
// meet thousands of hosts. The hosts must outlive this object.
class LabelIndex {
public:
    explicit LabelIndex(const std::vector<Host>&);

    // Indices of the matching hosts, in document order.
    std::vector<std::uint32_t> select(const Selector&) const;

private:
    // Hosts by label value.
    using Values = std::unordered_map<std::string_view, std::vector<std::uint32_t>>;

    std::vector<std::uint32_t> candidates(const LabelIn&) const;

    const std::vector<Host>& hosts;
    std::unordered_map<std::string_view, Values> hostsByLabel;
};

}
