// Long-running tasks go on until their submission is cancelled, however their
// runs end.

#include "pool_driver.hpp"

#include <gtest/gtest.h>

namespace dandeliontack::test
{

namespace
{

submission_record long_running_submission(std::uint32_t count)
{
    auto submission = pool_driver::make_submission(count);
    submission.spec.steps[0].long_running = true;
    return submission;
}

// Has host `a` run the submission for a second.
void run_on_one_host(pool_driver& d, const submission_record& submission)
{
    d.connect_hosts({"a"});
    d.submit(submission);
    d.answer_starts(d.tick());
    d.advance(1s);
}

std::size_t starts_in(const pool_effects& effects)
{
    return pool_driver::effects_of<pool_effect::start>(effects).size();
}

} // namespace

// Guards against review/10: a long-running task that ended as done was never
// started again.
TEST(long_running, task_that_ends_as_done_is_started_again)
{
    pool_driver d;
    run_on_one_host(d, long_running_submission(2));
    d.hold("a", {running_run(0, 1)}, {ended_run(1, 1, 1, run_outcome::done)});
    d.store();
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 1U);
    const auto again = pool_driver::effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(again.size(), 1U);
    EXPECT_EQ(again[0].task, task(1));
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::running);
}

// Though nobody had cancelled it, the submission was shown as completed.
TEST(long_running, submission_goes_on_until_it_is_cancelled)
{
    pool_driver d;
    run_on_one_host(d, long_running_submission(2));
    d.hold(
        "a", {},
        {ended_run(1, 0, 1, run_outcome::done),
         ended_run(2, 1, 1, run_outcome::done)});
    d.store();
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::running);
    EXPECT_EQ(starts_in(d.tick()), 2U);
    d.apply(pool_event::cancelled{submission_id});
    d.store();
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::cancelled);
}

TEST(long_running, gang_that_ends_as_done_is_started_again)
{
    pool_driver d;
    auto gang = long_running_submission(2);
    gang.spec.steps[0].gang = true;
    run_on_one_host(d, gang);
    d.hold(
        "a", {},
        {ended_run(1, 0, 1, run_outcome::done),
         ended_run(2, 1, 1, run_outcome::done)});
    d.store();
    EXPECT_EQ(starts_in(d.tick()), 2U);
}

TEST(long_running, each_repetition_goes_on)
{
    pool_driver d;
    auto timed = long_running_submission(1);
    timed.spec.repetitions = 2;
    timed.spec.interval = 1s;
    timed.spec.first_due = d.now.wall;
    run_on_one_host(d, timed);
    d.hold("a", {running_run(0, 1)});
    d.answer_starts(d.tick());
    ASSERT_EQ(starts_in(d.all_effects), 2U);
    d.hold(
        "a", {running_run(0, 1)},
        {{1, {submission_id, 1, 0, 0}, 1, run_outcome::done, {}}});
    d.store();
    EXPECT_EQ(starts_in(d.tick()), 1U);
}

// Ends that a past owner did not take note of, of the newest and of an older
// run.
TEST(long_running, end_as_done_under_a_past_owner_completes_nothing)
{
    for (const bool newer_runs : {false, true})
    {
        pool_driver d(2);
        d.restore_host("a");
        d.restore_host("b");
        d.restore(long_running_submission(1));
        d.begin();
        d.list_hosts({"a", "b"});
        d.store();
        d.hold("a", {}, {ended_run(1, 0, 1, run_outcome::done)});
        d.hold(
            "b", newer_runs ? std::vector{running_run(0, 2)}
                            : std::vector<running_row>{});
        d.store();
        EXPECT_EQ(starts_in(d.tick()), newer_runs ? 0U : 1U);
        EXPECT_TRUE(
            pool_driver::effects_of<pool_effect::stop>(d.all_effects).empty());
        EXPECT_EQ(
            d.engine.find(submission_id)->phase, submission_phase::running);
    }
}

// It says nothing of the host, nor of how long tasks of the queue run.
TEST(long_running, nothing_is_learned_from_an_end_as_done)
{
    pool_driver d;
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(1, 7));
    d.submit(long_running_submission(1));
    d.answer_starts(d.tick());
    d.hold(
        "a", {running_run(0, 1)},
        {{1, {7, 0, 0, 0}, 1, run_outcome::failed, {}}});
    ASSERT_EQ(d.engine.hosts().at("a").health.failures, 1U);
    d.hold("a", {}, {ended_run(2, 0, 1, run_outcome::done)});
    EXPECT_EQ(d.engine.hosts().at("a").health.failures, 1U);
}

// A task that ends at once each time is served on, at growing intervals that
// stay below the time within which it must run again.
TEST(long_running, task_that_always_ends_is_started_at_bounded_intervals)
{
    for (const auto outcome : {run_outcome::done, run_outcome::failed})
    {
        constexpr auto time = 60s;
        constexpr auto longest_gap = 6s;
        pool_driver d;
        d.connect_hosts({"a", "b"});
        d.submit(long_running_submission(1));
        std::map<std::string, std::uint64_t> ends;
        std::size_t starts = 0;
        auto last = d.now.steady;
        for (const auto end = d.now.steady + time; d.now.steady < end;)
        {
            d.advance(50ms);
            const auto effects = d.tick();
            d.answer_starts(effects);
            std::map<std::string, std::vector<ended_row>> ended;
            for (const auto& order :
                 pool_driver::effects_of<pool_effect::start>(effects))
            {
                ++starts;
                EXPECT_LE(d.now.steady - last, longest_gap);
                last = d.now.steady;
                ended[order.host].push_back(
                    {++ends[order.host], order.task, order.run, outcome, {}});
            }
            for (const auto* host : {"a", "b"})
                d.hold(host, {}, ended[host]);
            d.store();
        }
        EXPECT_GE(starts, 60U / 6U);
        EXPECT_LE(starts, 30U);
    }
}

} // namespace dandeliontack::test
