#include "completion_forecast.hpp"
#include "pool_driver.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace dandeliontack::test
{

namespace
{

// A submission of one step of 1 s that has waited; its objective is 2.6 s.
completion_forecast
forecast_after(std::chrono::milliseconds age, const run_time_ratios& ratios)
{
    submission_state s;
    s.record = pool_driver::make_submission(1);
    occurrence_state o;
    o.due = boot_time(1h);
    o.steps.resize(1);
    o.steps[0].tasks.resize(1);
    return forecast_completion(s, o, ratios, boot_time(1h) + age);
}

constexpr run_time_ratios uneven{0.6, 0.9, 1.25, 1.7, 2.3, 3.2, 1000};

} // namespace

// Load pattern: the steps of a route run 1.25 times their estimates on the
// median, and 2.3 times for one in ten. The objective grows with the work, so
// half of those that have waited for 1.85 s would still be in time.
TEST(completion_forecast, uneven_work_that_may_be_in_time_is_not_late)
{
    const auto half = forecast_after(1850ms, uneven);
    EXPECT_EQ(half.state, timeliness::in_time);
    EXPECT_NEAR(half.chance, 0.5, 0.01);
    EXPECT_EQ(forecast_after(600ms, uneven).chance, 1.0);
    EXPECT_EQ(forecast_after(2800ms, uneven).state, timeliness::in_time);
    EXPECT_EQ(forecast_after(3s, uneven).state, timeliness::late);
    EXPECT_EQ(forecast_after(20s, uneven).state, timeliness::overdue);
}

TEST(completion_forecast, estimates_decide_until_run_times_are_known)
{
    EXPECT_EQ(forecast_after(1500ms, {}).state, timeliness::in_time);
    EXPECT_EQ(forecast_after(1700ms, {}).state, timeliness::late);
}

RC_GTEST_PROP(completion_forecast, chance_falls_as_the_submission_waits, ())
{
    const auto first = *rc::gen::inRange(0, 20'000);
    const auto second = *rc::gen::inRange(first, 20'001);
    const auto early =
        forecast_after(std::chrono::milliseconds(first), uneven).chance;
    const auto late =
        forecast_after(std::chrono::milliseconds(second), uneven).chance;
    RC_ASSERT(early >= late);
    RC_ASSERT(late >= 0.0);
    RC_ASSERT(early <= 1.0);
}

} // namespace dandeliontack::test
