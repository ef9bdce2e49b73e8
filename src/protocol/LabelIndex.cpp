#include "protocol/LabelIndex.h"

#include <algorithm>
#include <optional>

namespace chicoryferry {

LabelIndex::LabelIndex(const std::vector<Host>& indexedHosts)
    : hosts(indexedHosts)
{
    for (std::uint32_t host = 0; host < this->hosts.size(); ++host) {
        for (const auto& [key, value] : this->hosts[host].labels) {
            this->hostsByLabel[key][value].push_back(host);
        }
    }
}

std::vector<std::uint32_t> LabelIndex::candidates(const LabelIn& requirement) const
{
    std::vector<std::uint32_t> found;
    const auto values = this->hostsByLabel.find(requirement.key);
    if (values == this->hostsByLabel.end()) {
        return found;
    }
    for (const std::string& value : requirement.values) {
        const auto bucket = values->second.find(value);
        if (bucket != values->second.end()) {
            found.insert(found.end(), bucket->second.begin(), bucket->second.end());
        }
    }
    // A selector may contain a value twice.
    std::sort(found.begin(), found.end());
    found.erase(std::unique(found.begin(), found.end()), found.end());
    return found;
}

std::vector<std::uint32_t> LabelIndex::select(const Selector& selector) const
{
    std::optional<std::vector<std::uint32_t>> smallestSet;
    for (const Requirement& requirement : selector.requirements()) {
        if (const auto* labelIn = std::get_if<LabelIn>(&requirement)) {
            auto found = this->candidates(*labelIn);
            if (!smallestSet || found.size() < smallestSet->size()) {
                smallestSet = std::move(found);
            }
        }
    }
    std::vector<std::uint32_t> matching;
    const auto addMatching = [&](std::uint32_t host) {
        if (selector.matches(this->hosts[host].labels)) {
            matching.push_back(host);
        }
    };
    if (smallestSet) {
        std::for_each(smallestSet->begin(), smallestSet->end(), addMatching);
        return matching;
    }
    for (std::uint32_t host = 0; host < this->hosts.size(); ++host) {
        addMatching(host);
    }
    return matching;
}

}
