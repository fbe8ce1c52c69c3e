#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>

namespace dandeliontack
{

/// A count that only rises.
class counter
{
public:
    void add(std::uint64_t n = 1)
    {
        value_.fetch_add(n, std::memory_order_relaxed);
    }
    std::uint64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::uint64_t> value_{0};
};

/// A value that rises and falls.
class gauge
{
public:
    void set(std::int64_t value)
    {
        value_.store(value, std::memory_order_relaxed);
    }
    void add(std::int64_t n)
    {
        value_.fetch_add(n, std::memory_order_relaxed);
    }
    std::int64_t value() const
    {
        return value_.load(std::memory_order_relaxed);
    }

private:
    std::atomic<std::int64_t> value_{0};
};

/// Count, sum and the 0.5, 0.9 and 0.99 quantiles of durations, estimated by
/// Boost.Accumulators in constant memory. Safe to use from several threads.
class summary
{
public:
    summary();
    ~summary();
    summary(const summary&) = delete;
    summary& operator=(const summary&) = delete;

    void record(std::chrono::nanoseconds duration);

    /// The estimate for one of the three quantiles; 0 before any record.
    std::chrono::nanoseconds quantile(double probability) const;
    std::uint64_t count() const;
    std::chrono::nanoseconds sum() const;

private:
    struct backend;
    mutable std::mutex mutex_;
    std::unique_ptr<backend> backend_;
};

/// The metrics of one process by name. A name may carry labels, as in
/// `tack_refusals_total{outcome="not-run"}`. The registry owns each metric;
/// references stay valid as long as it lives. Safe for several threads.
class metric_registry
{
public:
    counter& get_counter(const std::string& name);
    gauge& get_gauge(const std::string& name);
    summary& get_summary(const std::string& name);

    /// All metrics in Prometheus text format.
    std::string render() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::unique_ptr<counter>> counters_;
    std::map<std::string, std::unique_ptr<gauge>> gauges_;
    std::map<std::string, std::unique_ptr<summary>> summaries_;
};

} // namespace dandeliontack
