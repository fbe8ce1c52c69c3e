#include <dandeliontack/host_lease.hpp>

#include <algorithm>

namespace dandeliontack
{

namespace
{

using std::chrono::milliseconds;
using slow_milliseconds = std::chrono::duration<double, std::milli>;

} // namespace

milliseconds lease_terms::takeover_wait() const
{
    const auto on_slow_clock = slow_milliseconds(lease) / slowest_host_clock +
                               slow_milliseconds(right);
    return std::chrono::ceil<milliseconds>(on_slow_clock) + margin;
}

void host_lease::observe(host_time clock, boot_time received)
{
    const auto least = least_clock(received);
    if (!least || clock >= *least)
    {
        clock_ = clock;
        received_ = received;
    }
}

std::optional<host_time>
host_lease::extend(boot_time now, const lease_terms& terms)
{
    if (!clock_)
        return std::nullopt;
    // The host's clock isn't faster than ours, so this is at most a lease.
    const auto end = *clock_ + (now - received_) + terms.lease;
    given_ = std::max(given_.value_or(end), end);
    return given_;
}

void host_lease::begin_life(boot_time now, milliseconds longest)
{
    clock_.reset();
    given_.reset();
    unclear_until_ = now + std::chrono::ceil<milliseconds>(
                               slow_milliseconds(longest) / slowest_host_clock);
}

bool host_lease::has_ended(boot_time now) const
{
    if (now < unclear_until_)
        return false;
    return !given_ || !clock_ || *least_clock(now) > *given_;
}

std::optional<host_time> host_lease::least_clock(boot_time now) const
{
    if (!clock_)
        return std::nullopt;
    return *clock_ +
           std::chrono::floor<milliseconds>(
               slow_milliseconds(now - received_) * slowest_host_clock);
}

} // namespace dandeliontack
