#include "coordination/RouteStatistics.h"

#include <algorithm>
#include <cmath>

namespace chicoryferry {

namespace {

// The median is computed over this many recent runs, which bounds its cost. They are enough that 1 long request in 50
// does not move it.
constexpr std::size_t medianWindow = 256;
constexpr std::size_t medianUpdateInterval = 16;

// Weight of the newest run in a route's mean. Before 32 samples exist, all samples have the same weight.
constexpr double minSampleWeight = 1.0 / 32;

// Number of mean deviations above the mean that covers nearly all runs of a route whose run times vary evenly.
constexpr double upperBoundDeviations = 2;

// A route counts as long when its mean run time exceeds this many times the service's median.
constexpr int longFactor = 8;

}

ExpectedRun RouteStatistics::expectedRun(const RequestDescription& description) const
{
    ExpectedRun expected;
    expected.isLong = description.route.sizeClass == SizeClass::Long;
    const auto service = this->services.find(description.service);
    if (service == this->services.end()) {
        return expected;
    }
    const auto route = service->second.routes.find({ description.route.method, description.route.path });
    if (route == service->second.routes.end()) {
        return expected;
    }
    const RouteTimes& times = route->second;
    expected.duration = std::chrono::microseconds(static_cast<std::int64_t>(times.meanMicroseconds));
    expected.upperBound = std::chrono::microseconds(
        static_cast<std::int64_t>(times.meanMicroseconds + upperBoundDeviations * times.meanDeviation));
    if (description.route.sizeClass == SizeClass::Learned) {
        expected.isLong = expected.duration > service->second.median * longFactor;
    }
    return expected;
}

void RouteStatistics::runCompleted(const RequestDescription& description, std::chrono::microseconds duration)
{
    ServiceTimes& service = this->services[description.service];
    RouteTimes& route = service.routes[{ description.route.method, description.route.path }];
    ++route.samples;
    const double weight = std::max(minSampleWeight, 1.0 / static_cast<double>(route.samples));
    const double error = static_cast<double>(duration.count()) - route.meanMicroseconds;
    route.meanMicroseconds += weight * error;
    if (route.samples > 1) {
        route.meanDeviation += weight * (std::abs(error) - route.meanDeviation);
    }
    if (service.recent.size() < medianWindow) {
        service.recent.push_back(duration);
    } else {
        service.recent[service.next] = duration;
        service.next = (service.next + 1) % medianWindow;
    }
    if (++service.runsSinceMedian >= medianUpdateInterval || service.recent.size() < medianUpdateInterval) {
        std::vector<std::chrono::microseconds> sorted = service.recent;
        const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
        std::nth_element(sorted.begin(), middle, sorted.end());
        service.median = *middle;
        service.runsSinceMedian = 0;
    }
}

std::chrono::microseconds RouteStatistics::median(const std::string& service) const
{
    const auto found = this->services.find(service);
    return found == this->services.end() ? std::chrono::microseconds(0) : found->second.median;
}

}
