#include <dandeliontack/arrival_rate.hpp>

#include <algorithm>
#include <cmath>

namespace dandeliontack
{

namespace
{

double decay(std::chrono::milliseconds age, std::chrono::milliseconds length)
{
    return std::exp(
        -static_cast<double>(age.count()) /
        static_cast<double>(length.count()));
}

} // namespace

void arrival_rate::add(double work, boot_time now)
{
    for (auto& w : windows_)
    {
        const double factor = decay(now - w.updated, w.length);
        w.sum = w.sum * factor + work;
        w.sum_of_squares = w.sum_of_squares * factor * factor + work * work;
        w.updated = now;
    }
}

arrival_level arrival_rate::level_of(const window& w, boot_time now)
{
    const double scale = decay(now - w.updated, w.length) /
                         std::chrono::duration<double>(w.length).count();
    return {scale * w.sum, scale * scale * w.sum_of_squares};
}

arrival_levels arrival_rate::levels(boot_time now) const
{
    return {level_of(windows_.front(), now), level_of(windows_.back(), now)};
}

arrival_levels& arrival_levels::operator+=(const arrival_levels& other)
{
    fast.rate += other.fast.rate;
    fast.variance += other.fast.variance;
    slow.rate += other.slow.rate;
    slow.variance += other.slow.variance;
    return *this;
}

double arrival_levels::lower_bound() const
{
    return std::max(
        {fast.rate - std::sqrt(fast.variance),
         slow.rate - std::sqrt(slow.variance), 0.0});
}

double arrival_levels::expected(std::chrono::milliseconds lead) const
{
    using seconds = std::chrono::duration<double>;
    const double deviation = std::sqrt(fast.variance + slow.variance);
    const double rise = fast.rate - slow.rate - deviation;
    if (rise > 0)
    {
        // The estimate of a window lags by the window's length.
        constexpr seconds between =
            arrival_rate::slow_window - arrival_rate::fast_window;
        const seconds ahead = lead + arrival_rate::fast_window;
        return fast.rate + rise * ahead.count() / between.count();
    }
    return fast.rate + deviation < slow.rate ? fast.rate : lower_bound();
}

} // namespace dandeliontack
