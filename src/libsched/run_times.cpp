#include <dandeliontack/run_times.hpp>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <array>
#include <ranges>

namespace dandeliontack
{

namespace
{

namespace acc = boost::accumulators;

using quantile_estimator =
    acc::accumulator_set<double, acc::stats<acc::tag::extended_p_square>>;

constexpr std::array<double, 6> probabilities{0.1, 0.25, 0.5, 0.75, 0.9, 0.97};

quantile_estimator make_estimator()
{
    return quantile_estimator(
        acc::extended_p_square_probabilities = probabilities);
}

} // namespace

struct run_times::history
{
    quantile_estimator quantiles = make_estimator();
    std::size_t runs = 0;
    /// Number of the newest run among those of all routes.
    std::size_t newest = 0;
};

run_times::run_times() = default;
run_times::~run_times() = default;
run_times::run_times(run_times&&) noexcept = default;
run_times& run_times::operator=(run_times&&) noexcept = default;

void run_times::add(
    const std::string& route, std::chrono::milliseconds run_time,
    std::chrono::milliseconds estimate)
{
    if (estimate.count() <= 0)
        return;
    auto found = routes_.find(route);
    if (found == routes_.end())
    {
        if (routes_.size() >= max_routes)
            routes_.erase(
                std::ranges::min_element(routes_, {}, [](const auto& item) {
                    return item.second->newest;
                }));
        found = routes_.emplace(route, std::make_unique<history>()).first;
        for (std::size_t i = 0; i < prior_runs; ++i)
            found->second->quantiles(1.0);
    }
    auto& known = *found->second;
    known.quantiles(
        static_cast<double>(run_time.count()) /
        static_cast<double>(estimate.count()));
    ++known.runs;
    known.newest = ++added_;
}

run_time_quantiles run_times::ratios(const std::string& route) const
{
    const auto found = routes_.find(route);
    if (found == routes_.end())
        return {};
    const auto values = acc::extended_p_square(found->second->quantiles);
    return {values[0], values[1], values[2],          values[3],
            values[4], values[5], found->second->runs};
}

std::size_t run_times::routes() const
{
    return routes_.size();
}

} // namespace dandeliontack
