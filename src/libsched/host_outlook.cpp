#include "host_outlook.hpp"

#include <algorithm>

namespace dandeliontack
{

host_outlook::host_outlook(const resources& free) : free_(free) {}

void host_outlook::add_end(boot_time at, const resources& held)
{
    const auto place = std::ranges::upper_bound(
        ends_, at, {}, [](const auto& end) { return end.first; });
    ends_.emplace(place, at, held);
}

void host_outlook::add_run(const resources& need, boot_time end)
{
    free_ = free_ - need;
    add_end(end, need);
}

resources host_outlook::free_at(boot_time at) const
{
    auto sum = free_;
    for (const auto& [end, held] : ends_)
    {
        if (end > at)
            break;
        sum = sum + held;
    }
    return sum;
}

std::optional<boot_time>
host_outlook::fits_from(const resources& need, boot_time now) const
{
    if (fits(need, free_))
        return now;
    auto sum = free_;
    for (const auto& [end, held] : ends_)
    {
        sum = sum + held;
        if (fits(need, sum))
            return std::max(now, end);
    }
    return std::nullopt;
}

std::optional<boot_time> expected_end(
    std::chrono::milliseconds age, std::chrono::milliseconds duration,
    boot_time now)
{
    if (age >= 2 * duration)
        return std::nullopt;
    return now + (age < duration ? duration - age : age - duration);
}

} // namespace dandeliontack
