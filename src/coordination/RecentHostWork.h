#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace chicoryferry {

// Tracks the recent work of each host. A holder that assigns every host the same share keeps the hosts equally busy,
// whatever load they report and however unevenly connections are distributed over the holders.
class RecentHostWork {
public:
    using TimePoint = std::chrono::steady_clock::time_point;

    // Time constant of the exponential decay of work. It equals the 10 s windows over which balance is measured.
    static constexpr std::chrono::seconds decayTime { 10 };

    // Adds work granted to a host, divided by its number of slots. `work` is negative when a run was shorter than
    // expected.
    void add(TimePoint, std::string_view host, std::chrono::microseconds work, unsigned slots);

    // Recent work of a host per slot, decayed to the given time.
    std::chrono::microseconds share(TimePoint, std::string_view host) const;

private:
    struct Work {
        double microseconds { 0 };
        TimePoint updated;
    };

    static double decayed(TimePoint, const Work&);

    std::map<std::string, Work, std::less<>> hosts;
};

}
