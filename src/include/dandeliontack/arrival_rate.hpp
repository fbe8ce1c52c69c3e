#pragma once

#include <dandeliontack/boot_clock.hpp>

#include <array>

namespace dandeliontack
{

/// The arrival rate measured over one window, and its variance.
struct arrival_level
{
    double rate = 0;
    double variance = 0;

    bool operator==(const arrival_level&) const = default;
};

/// The arrival rates over a fast and a slow window. Rates of several cells can
/// be added.
struct arrival_levels
{
    arrival_level fast;
    arrival_level slow;

    arrival_levels& operator+=(const arrival_levels& other);
    bool operator==(const arrival_levels&) const = default;

    /// The larger of the two rates after subtracting one standard deviation
    /// from each; at least 0.
    double lower_bound() const;
    /// Forecast of the rate after `lead`, the time that a machine takes to join
    /// a pool. If the fast rate exceeds the slow one by more than their
    /// combined standard deviation, the rise is extrapolated over `lead`. If it
    /// is below by more than that, the result is the fast rate, else
    /// `lower_bound`.
    double expected(std::chrono::milliseconds lead) const;
};

/// Estimates the rate of arriving work from exponentially decaying windows.
/// Load pattern: peaks of many times the mean that begin and end within a
/// second, consist of anything from hundreds of small submissions to a few
/// large ones, and rise and fall over some seconds. One standard deviation is
/// subtracted from each rate, so that many small submissions are recognized as
/// a peak at once, but a single large one is not.
class arrival_rate
{
public:
    /// Records work, in any unit, that arrived at `now`.
    void add(double work, boot_time now);

    /// The rates at `now`, in units of work per second.
    arrival_levels levels(boot_time now) const;

private:
    friend struct arrival_levels;
    static constexpr std::chrono::milliseconds fast_window{400};
    static constexpr std::chrono::milliseconds slow_window{1500};

    /// Sums that decay with the window's time constant.
    struct window
    {
        std::chrono::milliseconds length{0};
        double sum = 0;
        double sum_of_squares = 0;
        boot_time updated;
    };

    static arrival_level level_of(const window& w, boot_time now);

    std::array<window, 2> windows_{window{fast_window}, window{slow_window}};
};

} // namespace dandeliontack
