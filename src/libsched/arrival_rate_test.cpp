#include <dandeliontack/arrival_rate.hpp>

#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

constexpr boot_time start{1h};

// The same work each `gap` for some time.
arrival_rate
steady(double work, std::chrono::milliseconds gap, std::chrono::milliseconds so)
{
    arrival_rate rate;
    for (auto at = gap; at <= so; at += gap)
        rate.add(work, start + at);
    return rate;
}

} // namespace

// Pattern of load: a turn of 100 small submissions a second. A window of one
// second alone has seen a third of its rate after 0.4 s.
TEST(arrival_rate, notices_a_turn_of_small_submissions_at_once)
{
    EXPECT_GT(steady(1, 10ms, 400ms).levels(start + 400ms).lower_bound(), 50.0);
    EXPECT_NEAR(
        steady(1, 10ms, 10s).levels(start + 10s).lower_bound(), 100.0, 20.0);
}

// Pattern of load: a large submission each ten seconds.
TEST(arrival_rate, takes_one_large_submission_for_no_turn)
{
    const auto rate = steady(100, 10s, 100s);
    for (auto age = 0ms; age < 10s; age += 100ms)
        EXPECT_LT(rate.levels(start + 100s + age).lower_bound(), 1.0);
}

TEST(arrival_rate, forgets_a_turn_that_is_over)
{
    const auto rate = steady(1, 10ms, 5s);
    EXPECT_LT(rate.levels(start + 5s + 5s).lower_bound(), 5.0);
}

// Pattern of load: a turn that swells by 60 submissions a second each second
// for 5 s. A machine that is ordered now serves what arrives 2 s later.
TEST(arrival_rate, goes_on_with_a_rise_for_as_long_as_a_machine_takes)
{
    arrival_rate rate;
    const auto rate_at = [](std::chrono::milliseconds t) {
        return 60.0 * std::chrono::duration<double>(t).count();
    };
    double owed = 0;
    for (auto t = 0ms; t < 2500ms; t += 1ms)
        for (owed += rate_at(t) / 1000; owed >= 1; owed -= 1)
            rate.add(1, start + t);
    const auto now = start + 2500ms;
    // At least half of what is missing, and not more than that.
    const double coming = rate_at(4500ms);
    EXPECT_GT(
        rate.levels(now).expected(2000ms),
        (rate.levels(now).lower_bound() + coming) / 2);
    EXPECT_LT(rate.levels(now).expected(2000ms), coming);
}

TEST(arrival_rate, expects_no_more_than_the_rate_where_it_is_steady)
{
    for (const auto gap : {5ms, 40ms, 300ms})
    {
        const auto even = steady(1, gap, 10s);
        EXPECT_EQ(
            even.levels(start + 10s).expected(2s),
            even.levels(start + 10s).lower_bound());
    }
}

TEST(arrival_rate, expects_less_as_soon_as_a_turn_ebbs)
{
    const auto rate = steady(1, 5ms, 5s);
    EXPECT_LT(
        rate.levels(start + 5600ms).expected(2s),
        rate.levels(start + 5600ms).lower_bound() / 2);
}

// Pattern of load: a few large submissions a turn say little of the next.
TEST(arrival_rate, takes_two_large_submissions_for_no_rise)
{
    auto rate = steady(100, 10s, 100s);
    rate.add(100, start + 100s + 100ms);
    const auto now = start + 100s + 100ms;
    EXPECT_EQ(rate.levels(now).expected(2s), rate.levels(now).lower_bound());
}

// Pattern of load: a turn that begins in eight cells, each of which has seen
// too little to be certain.
TEST(arrival_rate, is_certain_sooner_over_several_cells)
{
    arrival_levels all;
    double alone = 0;
    for (auto cell = 0ms; cell < 8ms; cell += 1ms)
    {
        arrival_rate rate;
        for (const auto at : {150ms, 260ms, 340ms, 390ms})
            rate.add(1, start + at + 5 * cell);
        const auto seen = rate.levels(start + 450ms);
        alone += seen.expected(2s);
        all += seen;
    }
    EXPECT_GT(all.expected(2s), 1.5 * alone);
}

} // namespace dandeliontack
