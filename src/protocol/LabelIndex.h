#pragma once

#include "protocol/Host.h"
#include "protocol/Selector.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

// Index of hosts by label. Finds the hosts that a selector matches without checking every host, because the design size
// is thousands of selectors and thousands of hosts. Only selectors without a LabelIn requirement are checked against
// every host. The hosts must outlive this object.
class LabelIndex {
public:
    explicit LabelIndex(const std::vector<Host>&);

    // Indices of the matching hosts, in document order.
    std::vector<std::uint32_t> select(const Selector&) const;

private:
    // Indices of hosts by the value of one label key.
    using HostsByValue = std::unordered_map<std::string_view, std::vector<std::uint32_t>>;

    std::vector<std::uint32_t> candidates(const LabelIn&) const;

    const std::vector<Host>& hosts;
    std::unordered_map<std::string_view, HostsByValue> hostsByLabel;
};

}
