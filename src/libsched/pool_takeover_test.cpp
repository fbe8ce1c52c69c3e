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
    submission.spec.steps[0].max_unavailable = 1;
    return submission;
}

} // namespace

// Guards against ignoring leases granted by the previous owner: adopted runs
// were released and started a second time. Found on bench day trouble-1.
TEST(pool_takeover, run_of_previous_owner_is_adopted)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore(long_running_submission(1));
    d.begin();
    d.hold("a", {running_run(0, 1)});
    d.advance(50ms);
    d.hold("a", {running_run(0, 1)});
    d.tick();
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.all_effects).empty());
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.all_effects).empty());
    EXPECT_EQ(
        d.engine.state_of(submission_id)
            ->occurrences.at(0)
            .steps[0]
            .tasks[0]
            .run,
        1U);
}

// Guards against a second start of a task that the previous owner had already
// restarted on another host, when the first host still lists the end of the
// earlier run. Found on bench day trouble-3.
TEST(pool_takeover, task_with_stopped_run_waits_for_all_hosts)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore_host("b");
    d.restore(long_running_submission(1));
    d.begin();
    d.list_hosts({"a", "b"});
    d.store();
    d.hold("a", {}, {ended_run(1, 0, 1, run_outcome::stopped)});
    d.advance(20ms);
    d.hold("a");
    d.tick();
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.all_effects).empty());
    d.hold("b", {running_run(0, 2)});
    d.tick();
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.all_effects).empty());
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.all_effects).empty());
}

TEST(pool_takeover, tasks_wait_for_lease_expiry_on_unreachable_host)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore_host("unreachable");
    d.restore(pool_driver::make_submission(1));
    d.begin();
    d.list_hosts({"a"});
    d.store();
    const auto wait = pool_terms().leases.takeover_wait();
    for (auto waited = 0ms; waited <= wait; waited += 500ms)
    {
        d.hold("a");
        d.tick();
        ASSERT_TRUE(d.effects_of<pool_effect::start>(d.all_effects).empty())
            << waited.count();
        d.advance(500ms);
    }
    d.hold("a");
    d.tick();
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.all_effects).size(), 1U);
}

// A host is closed when it stops answering or its owner hands over the shard.
// Its record then lists the tasks that may run there, and other tasks need not
// wait for it.
TEST(pool_takeover, only_recorded_tasks_wait_for_unreachable_closed_host)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore_closed_host("unreachable", {task(1)});
    d.restore(pool_driver::make_submission(2));
    d.begin();
    d.list_hosts({"a"});
    d.store();
    d.hold("a");
    d.store();
    d.hold("a");
    const auto starts = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task, task(0));
    d.advance(pool_terms().leases.takeover_wait() + 10ms);
    d.hold("a");
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.tick()).size(), 1U);
}

TEST(pool_takeover, closed_host_gets_no_tasks_until_reopening_is_stored)
{
    pool_driver d(2);
    d.restore_closed_host("a", {});
    d.restore(pool_driver::make_submission(1));
    d.begin();
    d.list_hosts({"a"});
    d.store();
    d.hold("a");
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.tick()).empty());
    const auto changes = d.store();
    ASSERT_EQ(changes.used_hosts, std::vector<std::string>{"a"});
    EXPECT_FALSE(d.engine.use_of(d.engine.hosts().at("a")).closed);
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.tick()).size(), 1U);
}

// Load pattern: the node that owns a pool is stopped in the pool's load peak,
// when tasks end all the time. The handover needs one append, whatever the
// hosts report meanwhile, and the recorded lists stay as they are.
TEST(pool_takeover, handover_in_a_load_peak_needs_one_append)
{
    constexpr std::uint32_t tasks = 12;
    pool_driver d;
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(tasks));
    d.answer_starts(d.tick());
    d.engine.begin_handover();
    EXPECT_TRUE(d.engine.has_changes());
    d.store();
    for (std::uint32_t i = 0; i < tasks; ++i)
    {
        d.advance(30ms);
        d.hold("a", {}, {ended_run(i + 1, i, 1, run_outcome::done)});
        EXPECT_FALSE(d.engine.has_changes());
    }
    const auto use = d.engine.use_of(d.engine.hosts().at("a"));
    EXPECT_TRUE(use.closed);
    EXPECT_EQ(use.tasks.size(), tasks);
}

TEST(pool_takeover, silent_host_is_closed_with_its_tasks_recorded)
{
    pool_driver d;
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(1));
    d.answer_starts(d.tick());
    d.advance(2s);
    d.tick();
    const auto use = d.engine.use_of(d.engine.hosts().at("a"));
    EXPECT_TRUE(use.closed);
    EXPECT_EQ(use.tasks, std::vector<task_ref>{task(0)});
    EXPECT_EQ(d.store().used_hosts, std::vector<std::string>{"a"});
}

TEST(pool_takeover, new_submission_starts_before_takeover_settles)
{
    pool_driver d(2);
    d.restore_host("unreachable");
    d.begin();
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(1));
    d.tick();
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.all_effects).size(), 1U);
}

// Guards against stopping a second task of a step while the previous owner is
// stopping another: its run is still reported as running. Found on bench
// day scale-2.
TEST(pool_takeover, evacuation_stops_no_task_before_takeover_settles)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore_host("b");
    d.restore(long_running_submission(2));
    d.begin();
    d.list_hosts({"a", "b", "c"});
    d.store();
    d.hold("a", {running_run(0, 1)});
    d.hold("b", {running_run(1, 1)});
    d.advance(400ms);
    d.hold("a", {running_run(0, 1)});
    d.hold("b", {running_run(1, 1)});
    d.apply(pool_event::evacuation_requested{"a", d.now.steady + 3s});
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.all_effects).empty());
    d.advance(1000ms);
    d.hold("a", {running_run(0, 1)});
    d.hold("b", {running_run(1, 1)});
    d.hold("c");
    d.apply(pool_event::evacuation_requested{"a", d.now.steady + 3s});
    EXPECT_EQ(d.effects_of<pool_effect::stop>(d.all_effects).size(), 1U);
}

// Guards against a new owner reporting a host as empty before the host has
// answered it: the machine was taken for maintenance. Found on bench day
// trouble-1.
TEST(pool_takeover, host_is_not_empty_before_takeover_settles)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore(long_running_submission(1));
    d.begin();
    EXPECT_FALSE(d.engine.is_empty("a", d.now));
    EXPECT_FALSE(d.engine.is_empty("not listed yet", d.now));
    d.hold("a", {running_run(0, 1)});
    EXPECT_FALSE(d.engine.is_empty("a", d.now));
    EXPECT_TRUE(d.engine.is_empty("not listed yet", d.now));
}

TEST(pool_takeover, evacuation_applies_to_host_listed_later)
{
    pool_driver d;
    d.begin();
    d.apply(pool_event::evacuation_requested{"a", d.now.steady + 3s});
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(1));
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.tick()).empty());
}

// A host lists an end that the previous owner had stored until it is
// acknowledged; it must not be counted twice.
TEST(pool_takeover, stored_failure_is_counted_once)
{
    pool_driver d(2);
    d.restore_host("a");
    auto submission = pool_driver::make_submission(1);
    submission.terms.max_attempts = 2;
    d.engine.restore(submission, d.now, [](submission_state& s) {
        auto& t = s.occurrences[0].steps.emplace_back().tasks.emplace_back();
        t.failed_runs = {1};
        t.recorded_run = 1;
        t.run = 1;
    });
    d.begin();
    d.list_hosts({"a"});
    d.store();
    d.hold("a", {}, {ended_run(7, 0, 1, run_outcome::failed)});
    d.store();
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 7U);
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::running);
    d.tick();
    ASSERT_EQ(d.effects_of<pool_effect::start>(d.all_effects).size(), 1U);
    EXPECT_GT(d.effects_of<pool_effect::start>(d.all_effects)[0].run, 1U);
}

// Guards against losing a failure when the ends of two runs of previous owners
// are listed before the first is stored: the second was acknowledged but never
// counted. Found by ownership_property_test.
TEST(pool_takeover, failed_runs_on_several_hosts_all_count)
{
    pool_driver d(3);
    d.restore_host("a");
    d.restore_host("b");
    auto submission = pool_driver::make_submission(1);
    submission.terms.max_attempts = 2;
    d.restore(submission);
    d.begin();
    d.list_hosts({"a", "b"});
    d.store();
    d.hold("a", {}, {ended_run(1, 0, 1001, run_outcome::failed)});
    d.hold("b", {}, {ended_run(1, 0, 1, run_outcome::failed)});
    d.store();
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::failed);
}

TEST(pool_takeover, done_end_is_kept_beside_a_failed_end)
{
    pool_driver d(3);
    d.restore_host("a");
    d.restore_host("b");
    d.restore(pool_driver::make_submission(1));
    d.begin();
    d.list_hosts({"a", "b"});
    d.store();
    d.hold("a", {}, {ended_run(1, 0, 1, run_outcome::failed)});
    d.hold("b", {}, {ended_run(1, 0, 1001, run_outcome::done)});
    EXPECT_EQ(d.engine.hosts().at("b").ack_cursor, 0U);
    d.store();
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::completed);
    EXPECT_EQ(d.engine.hosts().at("b").ack_cursor, 1U);
}

// Guards against a second run of a task whose end is in the part of a host's
// list that its first answer leaves out. review/1 saw 140 such tasks.
TEST(pool_takeover, tasks_wait_for_the_rest_of_a_cut_list_of_ends)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore(pool_driver::make_submission(2));
    d.begin();
    d.list_hosts({"a"});
    d.store();
    d.hold_cut("a", {ended_run(1, 0, 1, run_outcome::done)});
    d.tick();
    d.store();
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 1U);
    EXPECT_EQ(d.engine.unsettled_hosts(), std::vector<std::string>{"a"});
    d.tick();
    d.hold("a", {}, {ended_run(2, 1, 1, run_outcome::done)});
    d.tick();
    d.store();
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.all_effects).empty());
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::completed);
}

// The same for a host with a recorded list of tasks.
TEST(pool_takeover, recorded_tasks_wait_for_the_rest_of_a_cut_list_of_ends)
{
    pool_driver d(2);
    d.restore_host("b");
    d.restore_closed_host("a", {task(0), task(1)});
    d.restore(pool_driver::make_submission(2));
    d.begin();
    d.list_hosts({"a", "b"});
    d.store();
    d.hold("b");
    d.hold_cut("a", {ended_run(1, 0, 1, run_outcome::done)});
    d.store();
    d.hold("b");
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.tick()).empty());
    d.hold("a", {}, {ended_run(2, 1, 1, run_outcome::done)});
    d.store();
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::completed);
}

// The wait after a takeover covers the leases of the previous owner; while this
// one extends the lease, ends that the host has not listed yet stay valid.
TEST(pool_takeover, deadline_does_not_end_the_wait_for_a_host_under_lease)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore_host("gone");
    d.restore(pool_driver::make_submission(2));
    d.begin();
    d.list_hosts({"a"});
    d.store();
    const auto wait = pool_terms().leases.takeover_wait();
    for (auto waited = 0ms; waited <= wait + 500ms; waited += 500ms)
    {
        d.hold_cut("a", {ended_run(1, 0, 1, run_outcome::done)});
        d.tick();
        d.advance(500ms);
    }
    EXPECT_EQ(d.engine.unsettled_hosts(), std::vector<std::string>{"a"});
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.all_effects).empty());
    // Once that lease has expired too, the end does not count any more.
    d.advance(pool_terms().leases.takeover_wait());
    d.hold("a");
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.tick()).size(), 1U);
}

// A record that names the tasks which may run on a host must be complete. That
// of a host whose ends are not all known can't be, neither when the host stops
// answering nor in a planned handover.
TEST(pool_takeover, host_with_a_cut_list_of_ends_is_not_closed)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore(pool_driver::make_submission(2));
    d.begin();
    d.list_hosts({"a"});
    d.store();
    d.hold_cut("a", {ended_run(1, 0, 1, run_outcome::done)});
    d.store();
    d.advance(3000ms);
    d.tick();
    EXPECT_FALSE(d.engine.hosts().at("a").closed);
    d.engine.begin_handover();
    EXPECT_FALSE(d.engine.hosts().at("a").closed);
}

// Guards against a gang that is stored as partly done. The end of its first
// member completed it, and those of the others were acknowledged but never
// stored: the successor neither started it nor what depends on it. review/3.
TEST(pool_takeover, gang_is_stored_as_done_with_the_end_of_one_member)
{
    pool_driver d;
    d.connect_hosts({"a", "b"});
    auto submission = pool_driver::make_submission(3);
    submission.spec.steps[0].gang = true;
    submission.spec.steps.push_back(submission.spec.steps[0]);
    submission.spec.steps[1].gang = false;
    submission.spec.steps[1].dependencies = {0};
    d.submit(submission);
    d.answer_starts(d.tick());
    d.hold("a", {}, {ended_run(1, 1, 1, run_outcome::done)});
    const auto stored = d.engine.take_changes();
    ASSERT_EQ(stored.progressed.size(), 1U);
    const auto& tasks =
        d.engine.state_of(submission_id)->occurrences.at(0).steps[0].tasks;
    for (const auto& t : tasks)
        EXPECT_TRUE(t.phase == task_phase::recording && t.ended_done);
    d.apply(pool_event::batch_stored{stored.batch});
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.tick()).size(), 3U);
    // The later ends of the others change nothing, and are acknowledged.
    d.hold("a", {}, {ended_run(2, 0, 1, run_outcome::done)});
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 2U);
}

// Earlier versions stored only the members whose ends had been reported.
TEST(pool_takeover, gang_with_one_stored_end_goes_on)
{
    pool_driver d(2);
    d.restore_host("a");
    auto submission = pool_driver::make_submission(3);
    submission.spec.steps[0].gang = true;
    submission.spec.steps.push_back(submission.spec.steps[0]);
    submission.spec.steps[1].gang = false;
    submission.spec.steps[1].dependencies = {0};
    d.engine.restore(submission, d.now, [](submission_state& s) {
        auto& steps = s.occurrences[0].steps;
        steps.resize(2);
        for (auto& step : steps)
            step.tasks.resize(3);
        steps[0].tasks[2].phase = task_phase::done;
        steps[0].tasks[2].recorded_run = 1;
    });
    d.begin();
    d.list_hosts({"a"});
    d.store();
    d.hold("a");
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.tick()).size(), 3U);
}

// An owner of an earlier version may have sent an incarnation a lease that ends
// by the clock of the one before, so that it lasts for as long as a host
// permits.
TEST(pool_takeover, tasks_wait_for_the_longest_lease_of_a_restarted_host)
{
    const pool_terms terms;
    pool_driver d(2);
    d.restore_host("a");
    d.restore_host("unreachable");
    d.restore(pool_driver::make_submission(1));
    d.begin();
    auto back = pool_driver::host("unreachable");
    back.born = 2ms;
    d.apply(pool_event::hosts_listed{{pool_driver::host("a"), back}});
    d.store();
    ASSERT_GT(terms.max_lease, terms.leases.takeover_wait());
    for (auto waited = 0ms; waited <= terms.max_lease; waited += 500ms)
    {
        d.hold("a");
        d.tick();
        ASSERT_TRUE(d.effects_of<pool_effect::start>(d.all_effects).empty())
            << waited.count();
        d.advance(500ms);
    }
    d.advance(500ms);
    d.hold("a");
    d.tick();
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.all_effects).size(), 1U);
}

} // namespace dandeliontack::test
