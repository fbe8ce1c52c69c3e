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
    const auto on_slow_clock = slow_milliseconds(lease) / min_host_clock_rate +
                               slow_milliseconds(claim_validity);
    return std::chrono::ceil<milliseconds>(on_slow_clock) + margin;
}

void host_lease::observe(host_time clock, boot_time received)
{
    const auto min_reading = min_clock(received);
    if (!min_reading || clock >= *min_reading)
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
    // The host's clock isn't faster than the owner's, so at most `terms.lease`
    // remains on it.
    const auto end = *clock_ + (now - received_) + terms.lease;
    granted_until_ = std::max(granted_until_.value_or(end), end);
    return granted_until_;
}

void host_lease::begin_incarnation(boot_time now, milliseconds longest)
{
    clock_.reset();
    granted_until_.reset();
    unknown_until_ =
        now + std::chrono::ceil<milliseconds>(
                  slow_milliseconds(longest) / min_host_clock_rate);
}

bool host_lease::has_ended(boot_time now) const
{
    if (now < unknown_until_)
        return false;
    return !granted_until_ || !clock_ || *min_clock(now) > *granted_until_;
}

std::optional<host_time> host_lease::min_clock(boot_time now) const
{
    if (!clock_)
        return std::nullopt;
    return *clock_ +
           std::chrono::floor<milliseconds>(
               slow_milliseconds(now - received_) * min_host_clock_rate);
}

} // namespace dandeliontack
