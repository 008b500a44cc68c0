// SPDX-License-Identifier: Apache-2.0
#pragma once

#include "Libraries/Base/error_kind.h"

#include <memory>
#include <string>
#include <vector>

namespace vetchpost {

/// A value that only rises. Safe to use from several threads.
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

/// A value that rises and falls.
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

/// A distribution over fixed buckets.
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

/// The metrics of one process, in Prometheus form. The handles it gives live as long as it does.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    counter addCounter(const std::string &name, const std::string &help, const std::vector<metric_label> &labels = {});
    gauge addGauge(const std::string &name, const std::string &help, const std::vector<metric_label> &labels = {});
    /// Buckets for times in seconds from a millisecond to five minutes.
    histogram addTimeHistogram(const std::string &name, const std::string &help, const std::vector<metric_label> &labels = {});
    /// Counts one answer of this error kind.
    void countRefusal(error_kind kind);
    /// The text form of all metrics.
    std::string text() const;

private:
    struct private_data;
    std::unique_ptr<private_data> d;
};

} // namespace vetchpost
