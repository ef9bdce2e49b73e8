#pragma once

#include <memory>
#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <string>

namespace chicoryferry {

// The Prometheus metrics of the process, with one counter for each refusal, retry and drop reason. Returned references
// stay valid for the life of this object; hot paths look a counter up once and keep the reference.
class Metrics {
public:
    Metrics();

    // chicoryferry_drops_total{step,reason}: packets or messages discarded.
    prometheus::Counter& drops(const std::string& step, const std::string& reason);

    // chicoryferry_refusals_total{step,reason}: requests, flows or documents answered with an error.
    prometheus::Counter& refusals(const std::string& step, const std::string& reason);

    // chicoryferry_retries_total{step,reason}: attempts repeated.
    prometheus::Counter& retries(const std::string& step, const std::string& reason);

    // chicoryferry_events_total{event}: ordinary events, for example packets forwarded or flows admitted.
    prometheus::Counter& events(const std::string& event);

    // chicoryferry_state{name}: current sizes, for example flows held or requests in flight.
    prometheus::Gauge& state(const std::string& name);

    // chicoryferry_duration_seconds{step}: durations in seconds, 0.1 ms to 100 s.
    prometheus::Histogram& duration(const std::string& step);

    const std::shared_ptr<prometheus::Registry>& registry() const { return this->prometheusRegistry; }

    // All metrics in the Prometheus text format.
    std::string serialize() const;

private:
    std::shared_ptr<prometheus::Registry> prometheusRegistry;
    prometheus::Family<prometheus::Counter>& dropFamily;
    prometheus::Family<prometheus::Counter>& refusalFamily;
    prometheus::Family<prometheus::Counter>& retryFamily;
    prometheus::Family<prometheus::Counter>& eventFamily;
    prometheus::Family<prometheus::Gauge>& stateFamily;
    prometheus::Family<prometheus::Histogram>& durationFamily;
};

}
