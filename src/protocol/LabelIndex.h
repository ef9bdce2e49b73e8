#pragma once

#include "protocol/Host.h"
#include "protocol/Selector.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace chicoryferry {

// Index of hosts by label, which finds the hosts that a selector matches without checking every host: the design size
// has thousands of selectors and thousands of hosts. The hosts must outlive this object.
class LabelIndex {
public:
    explicit LabelIndex(const std::vector<Host>&);

    // Indices of the matching hosts, in document order.
    std::vector<std::uint32_t> select(const Selector&) const;

private:
    // Indices of hosts by the value of one label.
    using Values = std::unordered_map<std::string_view, std::vector<std::uint32_t>>;

    std::vector<std::uint32_t> candidates(const LabelIn&) const;

    const std::vector<Host>& hosts;
    std::unordered_map<std::string_view, Values> hostsByLabel;
};

}
