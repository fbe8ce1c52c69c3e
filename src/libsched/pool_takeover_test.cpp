#include "pool_driver.hpp"

#include <gtest/gtest.h>

namespace dandeliontack::test
{

namespace
{

submission_record lasting(std::uint32_t count)
{
    auto submission = pool_driver::record(count);
    submission.spec.steps[0].long_running = true;
    submission.spec.steps[0].may_miss = 1;
    return submission;
}

} // namespace

// Found by the bench on trouble-1: leases that a past owner gave did not
// count, so adopted runs were given up and started a second time.
TEST(pool_takeover, keeps_runs_that_a_past_owner_started)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore(lasting(1));
    d.begin();
    d.hold("a", {runs(0, 1)});
    d.advance(50ms);
    d.hold("a", {runs(0, 1)});
    d.tick();
    EXPECT_TRUE(d.only<pool_effect::stop>(d.all).empty());
    EXPECT_TRUE(d.only<pool_effect::start>(d.all).empty());
    EXPECT_EQ(
        d.engine.state_of(submission_id)
            ->occurrences.at(0)
            .steps[0]
            .tasks[0]
            .run,
        1U);
}

// Found by the bench on trouble-3: the past owner had seen the end that one
// host still lists, and had started the task again on another.
TEST(pool_takeover, holds_back_a_task_whose_old_end_it_sees)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore_host("b");
    d.restore(lasting(1));
    d.begin();
    d.list({"a", "b"});
    d.store();
    d.hold("a", {}, {ended(1, 0, 1, run_outcome::stopped)});
    d.advance(20ms);
    d.hold("a");
    d.tick();
    EXPECT_TRUE(d.only<pool_effect::start>(d.all).empty());
    d.hold("b", {runs(0, 2)});
    d.tick();
    EXPECT_TRUE(d.only<pool_effect::start>(d.all).empty());
    EXPECT_TRUE(d.only<pool_effect::stop>(d.all).empty());
}

TEST(pool_takeover, waits_for_the_leases_of_hosts_it_can_not_reach)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore_host("dark");
    d.restore(pool_driver::record(1));
    d.begin();
    d.list({"a"});
    d.store();
    const auto wait = pool_terms().leases.takeover_wait();
    for (auto waited = 0ms; waited <= wait; waited += 500ms)
    {
        d.hold("a");
        d.tick();
        ASSERT_TRUE(d.only<pool_effect::start>(d.all).empty())
            << waited.count();
        d.advance(500ms);
    }
    d.hold("a");
    d.tick();
    EXPECT_EQ(d.only<pool_effect::start>(d.all).size(), 1U);
}

// A host that fell silent, or whose owner handed its shard over, has a list of
// what may run there; other tasks need not wait for it.
TEST(pool_takeover, waits_only_with_what_may_run_on_a_dark_host)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore_closed_host("dark", {task(1)});
    d.restore(pool_driver::record(2));
    d.begin();
    d.list({"a"});
    d.store();
    d.hold("a");
    d.store();
    d.hold("a");
    const auto starts = d.only<pool_effect::start>(d.tick());
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task, task(0));
    d.advance(pool_terms().leases.takeover_wait() + 10ms);
    d.hold("a");
    EXPECT_EQ(d.only<pool_effect::start>(d.tick()).size(), 1U);
}

TEST(pool_takeover, starts_nothing_on_a_closed_host_before_it_is_reopened)
{
    pool_driver d(2);
    d.restore_closed_host("a", {});
    d.restore(pool_driver::record(1));
    d.begin();
    d.list({"a"});
    d.store();
    d.hold("a");
    EXPECT_TRUE(d.only<pool_effect::start>(d.tick()).empty());
    const auto changes = d.store();
    ASSERT_EQ(changes.used_hosts, std::vector<std::string>{"a"});
    EXPECT_FALSE(d.engine.use_of(d.engine.hosts().at("a")).closed);
    EXPECT_EQ(d.only<pool_effect::start>(d.tick()).size(), 1U);
}

TEST(pool_takeover, leaves_a_list_of_what_runs_on_a_silent_host)
{
    pool_driver d;
    d.ready({"a"});
    d.submit(pool_driver::record(1));
    d.answer_starts(d.tick());
    d.advance(2s);
    d.tick();
    const auto use = d.engine.use_of(d.engine.hosts().at("a"));
    EXPECT_TRUE(use.closed);
    EXPECT_EQ(use.tasks, std::vector<task_ref>{task(0)});
    EXPECT_EQ(d.store().used_hosts, std::vector<std::string>{"a"});
}

TEST(pool_takeover, starts_what_it_accepts_itself_at_once)
{
    pool_driver d(2);
    d.restore_host("dark");
    d.begin();
    d.ready({"a"});
    d.submit(pool_driver::record(1));
    d.tick();
    EXPECT_EQ(d.only<pool_effect::start>(d.all).size(), 1U);
}

// Found by the bench on scale-2: a run that the past owner was stopping still
// looked as if it ran, and a second task of its step was taken away.
TEST(pool_takeover, takes_nothing_away_before_it_has_settled)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore_host("b");
    d.restore(lasting(2));
    d.begin();
    d.list({"a", "b", "c"});
    d.store();
    d.hold("a", {runs(0, 1)});
    d.hold("b", {runs(1, 1)});
    d.advance(400ms);
    d.hold("a", {runs(0, 1)});
    d.hold("b", {runs(1, 1)});
    d.apply(pool_event::evacuation_wanted{"a", d.now.steady + 3s});
    EXPECT_TRUE(d.only<pool_effect::stop>(d.all).empty());
    d.advance(1000ms);
    d.hold("a", {runs(0, 1)});
    d.hold("b", {runs(1, 1)});
    d.hold("c");
    d.apply(pool_event::evacuation_wanted{"a", d.now.steady + 3s});
    EXPECT_EQ(d.only<pool_effect::stop>(d.all).size(), 1U);
}

// Found by the bench on trouble-1: a new owner that had not met a host yet
// called it empty, and its machine was taken for upkeep.
TEST(pool_takeover, calls_no_host_empty_before_it_has_met_it)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore(lasting(1));
    d.begin();
    EXPECT_FALSE(d.engine.is_empty("a", d.now));
    EXPECT_FALSE(d.engine.is_empty("not listed yet", d.now));
    d.hold("a", {runs(0, 1)});
    EXPECT_FALSE(d.engine.is_empty("a", d.now));
    EXPECT_TRUE(d.engine.is_empty("not listed yet", d.now));
}

TEST(pool_takeover, keeps_a_host_empty_that_is_listed_after_it_was_asked)
{
    pool_driver d;
    d.begin();
    d.apply(pool_event::evacuation_wanted{"a", d.now.steady + 3s});
    d.ready({"a"});
    d.submit(pool_driver::record(1));
    EXPECT_TRUE(d.only<pool_effect::start>(d.tick()).empty());
}

// An end that a past owner had stored is listed again until it is
// acknowledged; it must not count twice.
TEST(pool_takeover, counts_a_stored_failure_once)
{
    pool_driver d(2);
    d.restore_host("a");
    auto submission = pool_driver::record(1);
    submission.terms.max_attempts = 2;
    d.engine.restore(submission, d.now, [](submission_state& s) {
        auto& t = s.occurrences[0].steps.emplace_back().tasks.emplace_back();
        t.failed_runs = {1};
        t.recorded_run = 1;
        t.run = 1;
    });
    d.begin();
    d.list({"a"});
    d.store();
    d.hold("a", {}, {ended(7, 0, 1, run_outcome::failed)});
    d.store();
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 7U);
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::running);
    d.tick();
    ASSERT_EQ(d.only<pool_effect::start>(d.all).size(), 1U);
    EXPECT_GT(d.only<pool_effect::start>(d.all)[0].run, 1U);
}

// Found by ownership_property_test: the ends of two runs that past owners left
// behind were listed before the first was stored; the second was acknowledged
// and never counted.
TEST(pool_takeover, counts_failed_runs_that_several_hosts_list_at_once)
{
    pool_driver d(3);
    d.restore_host("a");
    d.restore_host("b");
    auto submission = pool_driver::record(1);
    submission.terms.max_attempts = 2;
    d.restore(submission);
    d.begin();
    d.list({"a", "b"});
    d.store();
    d.hold("a", {}, {ended(1, 0, 1001, run_outcome::failed)});
    d.hold("b", {}, {ended(1, 0, 1, run_outcome::failed)});
    d.store();
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::failed);
}

TEST(pool_takeover, keeps_a_done_end_that_is_listed_beside_a_failed_one)
{
    pool_driver d(3);
    d.restore_host("a");
    d.restore_host("b");
    d.restore(pool_driver::record(1));
    d.begin();
    d.list({"a", "b"});
    d.store();
    d.hold("a", {}, {ended(1, 0, 1, run_outcome::failed)});
    d.hold("b", {}, {ended(1, 0, 1001, run_outcome::done)});
    EXPECT_EQ(d.engine.hosts().at("b").ack_cursor, 0U);
    d.store();
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::completed);
    EXPECT_EQ(d.engine.hosts().at("b").ack_cursor, 1U);
}

} // namespace dandeliontack::test
