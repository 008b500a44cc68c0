// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/error_kind.h"

#include <memory>
#include <string>
#include <vector>

namespace vetchpost {

/// A metric that only increases. It may be used from several threads.
class counter
{
public:
    struct private_data;
    explicit counter(private_data *data)
        : d(data)
    {
    }

    void increment(double amount = 1) const;
    double value() const;

private:
    private_data *d;
};

/// A metric that increases and decreases.
class gauge
{
public:
    struct private_data;
    explicit gauge(private_data *data)
        : d(data)
    {
    }

    void set(double value) const;
    void add(double amount) const;

private:
    private_data *d;
};

/// A metric that counts observed values in fixed buckets.
class histogram
{
public:
    struct private_data;
    explicit histogram(private_data *data)
        : d(data)
    {
    }

    void observe(double value) const;

private:
    private_data *d;
};

struct metric_label
{
    std::string name;
    std::string value;
};

/// The registry of the metrics of one process, which exports them to Prometheus. The handles that it returns are valid for as long as it
/// exists.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    counter addCounter(const std::string &name, const std::string &help, const std::vector<metric_label> &labels = {});
    gauge addGauge(const std::string &name, const std::string &help, const std::vector<metric_label> &labels = {});
    /// Adds a histogram of times in seconds, with buckets from one millisecond to five minutes.
    histogram addTimeHistogram(const std::string &name, const std::string &help, const std::vector<metric_label> &labels = {});
    /// Counts a request that ended with an error of kind \a kind.
    void countRefusal(error_kind kind);
    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
