#include <dandeliontack/run_times.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;

} // namespace

// Load pattern: three in a hundred tasks take seven times as long.
TEST(run_times, rare_long_tasks_leave_median_and_p90_near_the_estimate)
{
    run_times times;
    std::mt19937 random(7);
    std::uniform_real_distribution<double> usual(0.8, 1.2);
    for (int i = 0; i < 2000; ++i)
    {
        const double ratio = usual(random) * (i % 33 == 0 ? 7 : 1);
        times.add(
            "quick", std::chrono::milliseconds(std::lround(1000 * ratio)), 1s);
    }
    const auto known = times.ratios("quick");
    EXPECT_NEAR(known.median, 1.0, 0.05);
    EXPECT_NEAR(known.p90, 1.17, 0.1);
    EXPECT_GT(known.p97, known.p90);
    EXPECT_EQ(known.runs, 2000U);
}

// Load pattern: every estimate of a route is half of the run time.
TEST(run_times, estimates_that_are_too_short_move_the_median)
{
    run_times times;
    EXPECT_EQ(times.ratios("quick"), run_time_quantiles{});
    times.add("quick", 2s, 1s);
    EXPECT_LT(times.ratios("quick").median, 1.5);
    for (int i = 0; i < 100; ++i)
        times.add("quick", 2s, 1s);
    EXPECT_NEAR(times.ratios("quick").median, 2.0, 0.1);
    EXPECT_EQ(times.ratios("other"), run_time_quantiles{});
}

RC_GTEST_PROP(run_times, quantiles_are_ordered_and_routes_bounded, ())
{
    run_times times;
    const auto count = *rc::gen::inRange<int>(0, 3000);
    const auto seed = *rc::gen::arbitrary<std::uint32_t>();
    std::mt19937 random(seed);
    std::lognormal_distribution<double> ratio(0, 1);
    for (int i = 0; i < count; ++i)
        times.add(
            i % 2 == 0 ? "kept" : "route" + std::to_string(i),
            std::chrono::milliseconds(std::lround(1000 * ratio(random))), 1s);
    RC_ASSERT(times.routes() <= run_times::max_routes);
    const auto known = times.ratios("kept");
    RC_ASSERT(known.median <= known.p90);
    RC_ASSERT(known.p90 <= known.p97);
    RC_ASSERT(known.runs == static_cast<std::size_t>((count + 1) / 2));
}

} // namespace dandeliontack
