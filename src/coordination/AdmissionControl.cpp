#include "coordination/AdmissionControl.h"

#include <algorithm>
#include <cmath>

namespace chicoryferry {

namespace {

// Bounds the memory of a holder. Unless runs are very short, the check of the expected wait refuses earlier.
constexpr std::size_t queueLimit = 4096;

// Fraction of a request's deadline that its expected wait and run may use. The remainder covers estimation errors, so
// that few admitted requests are dropped later.
constexpr double usableDeadlineFraction = 0.8;

// Start rates are averaged over the longer of this many seconds and this many mean run times, so that the period covers
// several runs of the class.
constexpr double minAveragingSeconds = 1.0;
constexpr double averagingRuns = 8;

double seconds(std::chrono::microseconds duration) { return std::chrono::duration<double>(duration).count(); }

std::chrono::microseconds fromSeconds(double duration)
{
    constexpr double maxSeconds = 3600;
    return std::chrono::microseconds(static_cast<std::int64_t>(std::min(duration, maxSeconds) * 1e6));
}

double averagingSeconds(double meanRunSeconds) { return std::max(minAveragingSeconds, averagingRuns * meanRunSeconds); }

}

double AdmissionControl::decay(TimePoint now, const Queue& queue)
{
    const double age = std::chrono::duration<double>(now - queue.measured).count();
    return std::exp(-std::max(0.0, age) / averagingSeconds(queue.meanRunSeconds));
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
    const double usable = usableDeadlineFraction * seconds(description.route.deadline);
    const double needed = seconds(wait) + seconds(expectedRun);
    if (needed > usable && wait.count() > 0) {
        return EarlyRefusal { "expected_wait", retryAfter };
    }
    // The capacity of the queue is what can be served within the deadline. Once it is half full, each caller is limited
    // to an equal share. The share is computed for one more caller than is waiting, so that a single caller cannot fill
    // the queue and lock out the next one.
    const Queue& queue = this->queues[isLong ? 1 : 0];
    const double utilization
        = std::max(usable > 0 ? needed / usable : 1.0, static_cast<double>(this->waitingCount()) / queueLimit);
    const auto caller = this->waitingByCaller.find(description.caller.address);
    if (utilization < 0.5 || caller == this->waitingByCaller.end()) {
        return std::nullopt;
    }
    const double capacity = static_cast<double>(queue.waiting) / utilization;
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
        queue.startsPerSecond = remainingRate + 1 / averagingSeconds(queue.meanRunSeconds);
        queue.measured = now;
    }
}

}
