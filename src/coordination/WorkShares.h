#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace chicoryferry {

// How much work each host had of late. A holder that gives every host the same share keeps the hosts
// equally busy, whatever they report and however unevenly connections are spread over the holders.
class WorkShares {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Time over which work is forgotten. Balance is measured over windows of 10 s.
    static constexpr std::chrono::seconds memory { 10 };

    // Adds work granted to a host for each of its slots; negative when a run was shorter than expected.
    void add(TimePoint, std::string_view host, std::chrono::microseconds work, unsigned slots);

    // Work of the last seconds for each slot.
    std::chrono::microseconds share(TimePoint, std::string_view host) const;

private:
    struct Work {
        double microseconds { 0 };
        TimePoint measured;
    };

    static double decayed(TimePoint, const Work&);

    std::map<std::string, Work, std::less<>> hosts;
};

}
