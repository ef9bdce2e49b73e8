#include "support/Metrics.h"

#include <prometheus/text_serializer.h>

namespace chicoryferry {

namespace {

const prometheus::Histogram::BucketBoundaries durationBuckets { 0.0001, 0.0003, 0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0,
    3.0, 10.0, 30.0, 100.0 };

}

Metrics::Metrics()
    : prometheusRegistry(std::make_shared<prometheus::Registry>())
    , dropFamily(prometheus::BuildCounter()
                     .Name("chicoryferry_drops_total")
                     .Help("Packets or messages discarded, by step and reason")
                     .Register(*this->prometheusRegistry))
    , refusalFamily(prometheus::BuildCounter()
                        .Name("chicoryferry_refusals_total")
                        .Help("Requests, flows or documents refused, by step and reason")
                        .Register(*this->prometheusRegistry))
    , retryFamily(prometheus::BuildCounter()
                      .Name("chicoryferry_retries_total")
                      .Help("Attempts repeated, by step and reason")
                      .Register(*this->prometheusRegistry))
    , eventFamily(prometheus::BuildCounter()
                      .Name("chicoryferry_events_total")
                      .Help("Ordinary events")
                      .Register(*this->prometheusRegistry))
    , stateFamily(prometheus::BuildGauge()
                      .Name("chicoryferry_state")
                      .Help("Current sizes and versions")
                      .Register(*this->prometheusRegistry))
    , durationFamily(prometheus::BuildHistogram()
                         .Name("chicoryferry_duration_seconds")
                         .Help("Durations by step, in seconds")
                         .Register(*this->prometheusRegistry))
{
}

prometheus::Counter& Metrics::drops(const std::string& step, const std::string& reason)
{
    return this->dropFamily.Add({ { "step", step }, { "reason", reason } });
}

prometheus::Counter& Metrics::refusals(const std::string& step, const std::string& reason)
{
    return this->refusalFamily.Add({ { "step", step }, { "reason", reason } });
}

prometheus::Counter& Metrics::retries(const std::string& step, const std::string& reason)
{
    return this->retryFamily.Add({ { "step", step }, { "reason", reason } });
}

prometheus::Counter& Metrics::events(const std::string& event) { return this->eventFamily.Add({ { "event", event } }); }

prometheus::Gauge& Metrics::state(const std::string& name) { return this->stateFamily.Add({ { "name", name } }); }

prometheus::Histogram& Metrics::duration(const std::string& step)
{
    return this->durationFamily.Add({ { "step", step } }, durationBuckets);
}

std::string Metrics::serialize() const
{
    const prometheus::TextSerializer serializer;
    return serializer.Serialize(this->prometheusRegistry->Collect());
}

}
