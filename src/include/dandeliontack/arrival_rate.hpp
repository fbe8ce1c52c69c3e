#pragma once

#include <dandeliontack/boot_clock.hpp>

#include <array>

namespace dandeliontack
{

/// How much work arrives a second. Pattern of load: turns of many times the
/// mean that begin and end within a second, made of anything from hundreds of
/// small submissions to a few large ones, and swell and ebb over some seconds.
/// What is certain of a window is its rate less one standard deviation, so
/// that a single large submission does not look like a turn, and many small
/// ones do at once.
class arrival_rate
{
public:
    /// Work of any unit arrived at `now`.
    void add(double work, boot_time now);

    /// Of that unit a second; the larger of a fast and a slow window.
    double rate(boot_time now) const;

    /// What will arrive a second after `lead`, the time that a machine takes
    /// to come. Where the fast window is above the slow one by more than their
    /// deviation, that rise goes on for so long; where it is below, the fast
    /// one alone counts; else this is `rate`.
    double expected(boot_time now, std::chrono::milliseconds lead) const;

private:
    /// Sums that decay with the window's time constant.
    struct window
    {
        std::chrono::milliseconds length{0};
        double sum = 0;
        double squares = 0;
        boot_time at;
    };

    /// A window's rate and its standard deviation.
    struct level
    {
        double rate = 0;
        double deviation = 0;
    };
    static level level_of(const window& w, boot_time now);

    std::array<window, 2> windows_{
        window{std::chrono::milliseconds(400)},
        window{std::chrono::milliseconds(1500)}};
};

} // namespace dandeliontack
