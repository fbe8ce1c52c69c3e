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

double arrival_rate::rate(boot_time now) const
{
    double most = 0;
    for (const auto& w : windows_)
    {
        const double kept = decay(now - w.at, w.length);
        const double sure = kept * (w.sum - std::sqrt(w.squares));
        most = std::max(
            most, sure / std::chrono::duration<double>(w.length).count());
    }
    return most;
}

} // namespace dandeliontack
