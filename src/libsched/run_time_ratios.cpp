#include <dandeliontack/run_time_ratios.hpp>

#include <algorithm>

namespace dandeliontack
{

namespace
{

constexpr std::size_t max_ratios = 64;
constexpr std::size_t min_ratios = 4;

} // namespace

void run_time_ratios::add(const std::string& queue, double ratio)
{
    auto& [newest, sorted] = windows_[queue];
    newest.push_back(ratio);
    sorted.insert(std::ranges::upper_bound(sorted, ratio), ratio);
    if (newest.size() <= max_ratios)
        return;
    sorted.erase(std::ranges::lower_bound(sorted, newest.front()));
    newest.pop_front();
}

std::optional<double>
run_time_ratios::quantile(const std::string& queue, double share) const
{
    const auto found = windows_.find(queue);
    if (found == windows_.end() || found->second.sorted.size() < min_ratios)
        return std::nullopt;
    const auto& sorted = found->second.sorted;
    return sorted[static_cast<std::size_t>(
        std::clamp(share, 0.0, 1.0) * static_cast<double>(sorted.size() - 1))];
}

} // namespace dandeliontack
