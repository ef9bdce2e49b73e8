#include "coordination/AdmissionControl.h"

#include <algorithm>
#include <cmath>

namespace chicoryferry {

namespace {

// Bounds the memory of a holder; the expected wait refuses earlier unless runs are very short.
constexpr std::size_t queueLimit = 4096;

// The share of a request's deadline that its expected wait and run may use. The rest covers the error of the estimate,
// so that few admitted requests are dropped later.
constexpr double usableShareOfDeadline = 0.8;

// Time over which start rates are averaged, in seconds. Long enough to hold several runs of the class.
constexpr double shortestAveraging = 1.0;
constexpr double averagingRuns = 8;

double seconds(std::chrono::microseconds duration) { return std::chrono::duration<double>(duration).count(); }

std::chrono::microseconds fromSeconds(double duration)
{
    constexpr double longest = 3600;
    return std::chrono::microseconds(static_cast<std::int64_t>(std::min(duration, longest) * 1e6));
}

double averagingTime(double meanRunSeconds) { return std::max(shortestAveraging, averagingRuns * meanRunSeconds); }

}

double AdmissionControl::decay(TimePoint now, const Queue& queue)
{
    const double age = std::chrono::duration<double>(now - queue.measured).count();
    return std::exp(-std::max(0.0, age) / averagingTime(queue.meanRunSeconds));
}

double AdmissionControl::startRate(TimePoint now, const Queue& queue, bool isLong) const
{
    const double measuredRate = queue.startsPerSecond * decay(now, queue);
    if (queue.meanRunSeconds <= 0) {
        return measuredRate;
    }
    const unsigned usable = isLong && this->slots > 1 ? this->slots - 1 : this->slots;
    return std::max(measuredRate, usable / queue.meanRunSeconds);
}

std::chrono::microseconds AdmissionControl::expectedWait(
    TimePoint now, std::chrono::microseconds expectedRun, bool isLong) const
{
    Queue queue = this->queues[isLong ? 1 : 0];
    queue.meanRunSeconds = seconds(expectedRun);
    const double rate = this->startRate(now, queue, isLong);
    if (queue.waiting == 0 || rate <= 0) {
        return std::chrono::microseconds(0);
    }
    return fromSeconds(static_cast<double>(queue.waiting) / rate);
}

std::optional<EarlyRefusal> AdmissionControl::refusal(
    TimePoint now, const RequestDescription& description, std::chrono::microseconds expectedRun, bool isLong) const
{
    const std::chrono::microseconds wait = this->expectedWait(now, expectedRun, isLong);
    const auto retryAfter
        = std::max(std::chrono::milliseconds(1000), std::chrono::duration_cast<std::chrono::milliseconds>(wait / 2));
    if (this->waitingCount() >= queueLimit) {
        return EarlyRefusal { "queue_full", retryAfter };
    }
    const double usable = usableShareOfDeadline * seconds(description.route.deadline);
    const double needed = seconds(wait) + seconds(expectedRun);
    if (needed > usable && wait.count() > 0) {
        return EarlyRefusal { "expected_wait", retryAfter };
    }
    // The queue is as long as can be served within the deadline; from half of it each caller has an equal share. One
    // more caller than waits now is counted, so that a single caller cannot fill the queue for the next one.
    const Queue& queue = this->queues[isLong ? 1 : 0];
    const double fill
        = std::max(usable > 0 ? needed / usable : 1.0, static_cast<double>(this->waitingCount()) / queueLimit);
    const auto caller = this->waitingByCaller.find(description.caller.address);
    if (fill < 0.5 || caller == this->waitingByCaller.end()) {
        return std::nullopt;
    }
    const double capacity = static_cast<double>(queue.waiting) / fill;
    const double share = std::max(1.0, capacity / static_cast<double>(this->waitingByCaller.size() + 1));
    if (static_cast<double>(caller->second) >= share) {
        return EarlyRefusal { "caller_share", retryAfter };
    }
    return std::nullopt;
}

void AdmissionControl::waitBegan(TimePoint /*now*/, const RequestDescription& description, bool isLong)
{
    ++this->queues[isLong ? 1 : 0].waiting;
    ++this->waitingByCaller[description.caller.address];
}

void AdmissionControl::waitEnded(TimePoint now, const RequestDescription& description, bool isLong, bool started)
{
    Queue& queue = this->queues[isLong ? 1 : 0];
    --queue.waiting;
    const auto caller = this->waitingByCaller.find(description.caller.address);
    if (--caller->second == 0) {
        this->waitingByCaller.erase(caller);
    }
    if (started) {
        const double remainingRate = queue.startsPerSecond * decay(now, queue);
        queue.startsPerSecond = remainingRate + 1 / averagingTime(queue.meanRunSeconds);
        queue.measured = now;
    }
}

}
