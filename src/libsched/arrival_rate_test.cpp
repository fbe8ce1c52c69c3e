#include <dandeliontack/arrival_rate.hpp>

#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

constexpr boot_time start{1h};

// A rate that has recorded `work` every `gap` for the time `length`.
arrival_rate steady(
    double work, std::chrono::milliseconds gap,
    std::chrono::milliseconds length)
{
    arrival_rate rate;
    for (auto at = gap; at <= length; at += gap)
        rate.add(work, start + at);
    return rate;
}

} // namespace

// Load pattern: a peak of 100 small submissions per second. A single window of
// one second would show only a third of that rate after 0.4 s.
TEST(arrival_rate, many_small_submissions_raise_lower_bound_within_400_ms)
{
    EXPECT_GT(steady(1, 10ms, 400ms).levels(start + 400ms).lower_bound(), 50.0);
    EXPECT_NEAR(
        steady(1, 10ms, 10s).levels(start + 10s).lower_bound(), 100.0, 20.0);
}

// Load pattern: one large submission every ten seconds.
TEST(arrival_rate, single_large_submission_does_not_raise_lower_bound)
{
    const auto rate = steady(100, 10s, 100s);
    for (auto age = 0ms; age < 10s; age += 100ms)
        EXPECT_LT(rate.levels(start + 100s + age).lower_bound(), 1.0);
}

TEST(arrival_rate, lower_bound_decays_after_peak_ends)
{
    const auto rate = steady(1, 10ms, 5s);
    EXPECT_LT(rate.levels(start + 5s + 5s).lower_bound(), 5.0);
}

// Load pattern: a peak whose rate rises by 60 submissions per second every
// second for 5 s. A machine that is ordered now serves the arrivals 2 s later.
TEST(arrival_rate, rising_rate_is_extrapolated_over_lead_time)
{
    arrival_rate rate;
    const auto rate_at = [](std::chrono::milliseconds t) {
        return 60.0 * std::chrono::duration<double>(t).count();
    };
    double due = 0;
    for (auto t = 0ms; t < 2500ms; t += 1ms)
        for (due += rate_at(t) / 1000; due >= 1; due -= 1)
            rate.add(1, start + t);
    const auto now = start + 2500ms;
    // The forecast covers at least half of the further rise and doesn't exceed
    // it.
    const double future_rate = rate_at(4500ms);
    EXPECT_GT(
        rate.levels(now).expected(2000ms),
        (rate.levels(now).lower_bound() + future_rate) / 2);
    EXPECT_LT(rate.levels(now).expected(2000ms), future_rate);
}

TEST(arrival_rate, steady_rate_is_not_extrapolated)
{
    for (const auto gap : {5ms, 40ms, 300ms})
    {
        const auto even = steady(1, gap, 10s);
        EXPECT_EQ(
            even.levels(start + 10s).expected(2s),
            even.levels(start + 10s).lower_bound());
    }
}

TEST(arrival_rate, forecast_drops_when_fast_rate_falls_below_slow_rate)
{
    const auto rate = steady(1, 5ms, 5s);
    EXPECT_LT(
        rate.levels(start + 5600ms).expected(2s),
        rate.levels(start + 5600ms).lower_bound() / 2);
}

// Load pattern: peaks of a few large submissions, whose number doesn't predict
// further arrivals.
TEST(arrival_rate, two_large_submissions_are_not_extrapolated)
{
    auto rate = steady(100, 10s, 100s);
    rate.add(100, start + 100s + 100ms);
    const auto now = start + 100s + 100ms;
    EXPECT_EQ(rate.levels(now).expected(2s), rate.levels(now).lower_bound());
}

// Load pattern: a peak that begins in eight cells, each of which has too few
// submissions for a significant rate.
TEST(arrival_rate, summed_cells_forecast_more_than_separate_cells)
{
    arrival_levels all;
    double separate_sum = 0;
    for (auto cell = 0ms; cell < 8ms; cell += 1ms)
    {
        arrival_rate rate;
        for (const auto at : {150ms, 260ms, 340ms, 390ms})
            rate.add(1, start + at + 5 * cell);
        const auto seen = rate.levels(start + 450ms);
        separate_sum += seen.expected(2s);
        all += seen;
    }
    EXPECT_GT(all.expected(2s), 1.5 * separate_sum);
}

} // namespace dandeliontack
