#include "coordination/RecentHostWork.h"

#include <algorithm>
#include <cmath>

namespace chicoryferry {

double RecentHostWork::decayed(TimePoint now, const Work& work)
{
    const double age = std::max(0.0, std::chrono::duration<double>(now - work.updated).count());
    return work.microseconds * std::exp(-age / std::chrono::duration<double>(decayTime).count());
}

void RecentHostWork::add(TimePoint now, std::string_view host, std::chrono::microseconds work, unsigned slots)
{
    auto found = this->hosts.find(host);
    if (found == this->hosts.end()) {
        found = this->hosts.emplace(std::string(host), Work { 0, now }).first;
    }
    found->second.microseconds = decayed(now, found->second) + static_cast<double>(work.count()) / std::max(1U, slots);
    found->second.updated = now;
}

std::chrono::microseconds RecentHostWork::share(TimePoint now, std::string_view host) const
{
    const auto found = this->hosts.find(host);
    const double work = found == this->hosts.end() ? 0 : decayed(now, found->second);
    return std::chrono::microseconds(static_cast<std::int64_t>(work));
}

}
