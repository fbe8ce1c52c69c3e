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
    EXPECT_GT(steady(1, 10ms, 400ms).rate(start + 400ms), 50.0);
    EXPECT_NEAR(steady(1, 10ms, 10s).rate(start + 10s), 100.0, 20.0);
}

// Pattern of load: a large submission each ten seconds.
TEST(arrival_rate, takes_one_large_submission_for_no_turn)
{
    const auto rate = steady(100, 10s, 100s);
    for (auto age = 0ms; age < 10s; age += 100ms)
        EXPECT_LT(rate.rate(start + 100s + age), 1.0);
}

TEST(arrival_rate, forgets_a_turn_that_is_over)
{
    const auto rate = steady(1, 10ms, 5s);
    EXPECT_LT(rate.rate(start + 5s + 5s), 5.0);
}

} // namespace dandeliontack
