#pragma once

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dandeliontack
{

/// Quantiles of the ratio of run time to estimate, by queue, over its newest
/// runs.
class run_time_ratios
{
public:
    void add(const std::string& queue, double ratio);
    /// None while too few runs are known. `share` is in 0 to 1.
    std::optional<double>
    quantile(const std::string& queue, double share) const;

private:
    struct window
    {
        std::deque<double> newest;
        /// The same values in ascending order.
        std::vector<double> sorted;
    };

    std::map<std::string, window> windows_;
};

} // namespace dandeliontack
