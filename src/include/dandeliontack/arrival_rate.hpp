#pragma once

#include <dandeliontack/boot_clock.hpp>

#include <array>

namespace dandeliontack
{

/// What a window has seen: a rate, and its variance.
struct arrival_level
{
    double rate = 0;
    double variance = 0;

    bool operator==(const arrival_level&) const = default;
};

/// What a fast and a slow window have seen. Those of several cells add up.
struct arrival_levels
{
    arrival_level fast;
    arrival_level slow;

    arrival_levels& operator+=(const arrival_levels& other);
    bool operator==(const arrival_levels&) const = default;

    /// The larger rate, each less one standard deviation.
    double sure() const;
    /// What will arrive a second after `lead`, the time that a machine takes
    /// to come. Where the fast window is above the slow one by more than their
    /// deviation, that rise goes on for so long; where it is below, the fast
    /// one alone counts; else this is `sure`.
    double expected(std::chrono::milliseconds lead) const;
};

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

    /// Of that unit a second.
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
        double squares = 0;
        boot_time at;
    };

    static arrival_level level_of(const window& w, boot_time now);

    std::array<window, 2> windows_{window{fast_window}, window{slow_window}};
};

} // namespace dandeliontack
