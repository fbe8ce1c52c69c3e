#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace dandeliontack
{

/// How long the tasks of a route run, relative to their estimates.
struct run_time_quantiles
{
    double p10 = 1.0;
    double p25 = 1.0;
    double median = 1.0;
    double p75 = 1.0;
    /// Nine in ten tasks run no longer.
    double p90 = 1.0;
    /// 97 in a hundred tasks run no longer.
    double p97 = 1.0;
    /// Runs that were measured.
    std::size_t runs = 0;

    bool operator==(const run_time_quantiles&) const = default;
};

/// Learns the quantiles of the run times of each route, of tasks or of whole
/// steps, from those that ended as done. Load pattern: most tasks end near
/// their estimate, a few take many times as long, and the estimates of a route
/// are wrong in one direction. Until runs are measured, the estimate is the
/// prior: it weighs as much as `prior_runs` runs. Memory is bounded by
/// `max_routes`; of more routes, those that ended no task for the longest are
/// forgotten.
class run_times
{
public:
    static constexpr std::size_t max_routes = 1000;
    static constexpr std::size_t prior_runs = 10;

    run_times();
    ~run_times();
    run_times(run_times&&) noexcept;
    run_times& operator=(run_times&&) noexcept;

    /// Records a run of a task. Ignored if `estimate` is not positive.
    void
    add(const std::string& route, std::chrono::milliseconds run_time,
        std::chrono::milliseconds estimate);

    /// The ratios of the route; all 1 if it is not known.
    run_time_quantiles ratios(const std::string& route) const;

    std::size_t routes() const;

private:
    struct history;

    std::map<std::string, std::unique_ptr<history>> routes_;
    std::size_t added_ = 0;
};

} // namespace dandeliontack
