// SPDX-License-Identifier: Apache-2.0
#include "Libraries/Base/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <map>

namespace vetchpost {

namespace {

prometheus::Counter &unwrap(counter::private_data *data)
{
    return *reinterpret_cast<prometheus::Counter *>(data);
}

prometheus::Gauge &unwrap(gauge::private_data *data)
{
    return *reinterpret_cast<prometheus::Gauge *>(data);
}

prometheus::Histogram &unwrap(histogram::private_data *data)
{
    return *reinterpret_cast<prometheus::Histogram *>(data);
}

std::map<std::string, std::string> labelsOf(const std::vector<metric_label> &labels)
{
    std::map<std::string, std::string> result;
    for (const auto &label : labels) {
        result.emplace(label.name, label.value);
    }
    return result;
}

const prometheus::Histogram::BucketBoundaries timeBuckets
    = {0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.55, 1, 2.5, 5, 14, 30, 60, 300};

} // namespace

void counter::increment(double amount) const
{
    unwrap(d).Increment(amount);
}

double counter::value() const
{
    return unwrap(d).Value();
}

void gauge::set(double value) const
{
    unwrap(d).Set(value);
}

void gauge::add(double amount) const
{
    unwrap(d).Increment(amount);
}

void histogram::observe(double value) const
{
    unwrap(d).Observe(value);
}

struct metrics::private_data
{
    prometheus::Registry registry;
    std::vector<counter> refusals;
};

metrics::metrics()
    : d(std::make_unique<private_data>())
{
    for (const auto &answer : errorAnswers()) {
        d->refusals.push_back(
            addCounter("vetchpost_refusals_total", "Requests that ended with this kind of error.", {{"kind", std::string(answer.name)}}));
    }
}

metrics::~metrics() = default;

counter metrics::addCounter(const std::string &name, const std::string &help, const std::vector<metric_label> &labels)
{
    auto &family = prometheus::BuildCounter().Name(name).Help(help).Register(d->registry);
    return counter(reinterpret_cast<counter::private_data *>(&family.Add(labelsOf(labels))));
}

gauge metrics::addGauge(const std::string &name, const std::string &help, const std::vector<metric_label> &labels)
{
    auto &family = prometheus::BuildGauge().Name(name).Help(help).Register(d->registry);
    return gauge(reinterpret_cast<gauge::private_data *>(&family.Add(labelsOf(labels))));
}

histogram metrics::addTimeHistogram(const std::string &name, const std::string &help, const std::vector<metric_label> &labels)
{
    auto &family = prometheus::BuildHistogram().Name(name).Help(help).Register(d->registry);
    return histogram(reinterpret_cast<histogram::private_data *>(&family.Add(labelsOf(labels), timeBuckets)));
}

void metrics::countRefusal(error_kind kind)
{
    d->refusals.at(static_cast<std::size_t>(kind)).increment();
}

std::string metrics::text() const
{
    return prometheus::TextSerializer().Serialize(d->registry.Collect());
}

} // namespace vetchpost
