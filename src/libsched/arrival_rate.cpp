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
        const double kept = decay(now - w.at, w.length);
        w.sum = w.sum * kept + work;
        w.squares = w.squares * kept * kept + work * work;
        w.at = now;
    }
}

arrival_rate::level arrival_rate::level_of(const window& w, boot_time now)
{
    const double part = decay(now - w.at, w.length) /
                        std::chrono::duration<double>(w.length).count();
    return {part * w.sum, part * std::sqrt(w.squares)};
}

double arrival_rate::rate(boot_time now) const
{
    double most = 0;
    for (const auto& w : windows_)
    {
        const auto seen = level_of(w, now);
        most = std::max(most, seen.rate - seen.deviation);
    }
    return most;
}

double
arrival_rate::expected(boot_time now, std::chrono::milliseconds lead) const
{
    using seconds = std::chrono::duration<double>;
    const auto fast = level_of(windows_.front(), now);
    const auto slow = level_of(windows_.back(), now);
    const double deviation = std::hypot(fast.deviation, slow.deviation);
    const double rise = fast.rate - slow.rate - deviation;
    if (rise > 0)
    {
        // A window shows what was its length ago.
        const seconds between =
            windows_.back().length - windows_.front().length;
        const seconds ahead = lead + windows_.front().length;
        return fast.rate + rise * ahead.count() / between.count();
    }
    if (fast.rate + deviation < slow.rate)
        return fast.rate;
    return rate(now);
}

} // namespace dandeliontack
