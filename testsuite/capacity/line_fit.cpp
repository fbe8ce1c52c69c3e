#include "line_fit.hpp"

#include <numeric>

namespace dandeliontack::capacity
{

fitted_line fit_line(const std::vector<sample>& samples)
{
    const auto sum = [&](auto term) {
        return std::accumulate(
            samples.begin(), samples.end(), 0.0,
            [&](double total, const sample& s) { return total + term(s); });
    };
    const auto count = static_cast<double>(samples.size());
    const double mean_size = sum([](auto s) { return s.size; }) / count;
    const double mean_value = sum([](auto s) { return s.value; }) / count;
    const double covariance = sum(
        [&](auto s) { return (s.size - mean_size) * (s.value - mean_value); });
    const double variance = sum(
        [&](auto s) { return (s.size - mean_size) * (s.size - mean_size); });
    const double slope = covariance / variance;
    return {mean_value - slope * mean_size, slope};
}

} // namespace dandeliontack::capacity
