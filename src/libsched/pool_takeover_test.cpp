#include "pool_driver.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <numeric>
#include <ranges>
#include <set>

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

// What a host lists of a task's runs, which several owners started.
struct host_facts
{
    std::string host;
    std::vector<ended_row> ended;
    std::vector<running_row> running;
};

// What follows from the reports for the task and its submission.
struct conclusion
{
    std::optional<submission_phase> phase;
    std::set<std::uint32_t> failed_runs;
    bool done = false;
    /// The host and the number of each run that is to go on.
    std::set<std::pair<std::string, std::uint32_t>> going_on;

    bool operator==(const conclusion&) const = default;
};

conclusion conclude(const pool_engine& engine)
{
    conclusion out;
    out.phase = engine.find(submission_id)->phase;
    if (const auto* s = engine.state_of(submission_id))
    {
        const auto& t = s->occurrences.at(0).steps[0].tasks[0];
        out.done = t.phase == task_phase::done;
        if (!out.done)
            out.failed_runs = t.failed_runs;
    }
    for (const auto& [id, h] : engine.hosts())
        for (const auto& [ref, run] : h.runs)
            if (!run.stop_ordered)
                out.going_on.emplace(id, run.run);
    return out;
}

std::string
describe(const std::vector<host_facts>& facts, const conclusion& result)
{
    std::string text;
    for (const auto& host : facts)
    {
        text += host.host + ":";
        for (const auto& row : host.ended)
            text += " " + std::to_string(row.run) + " " +
                    std::string(to_string(row.outcome));
        for (const auto& row : host.running)
            text += " " + std::to_string(row.run) + " runs";
        text += "\n";
    }
    text += result.phase ? std::string(to_string(*result.phase)) : "unknown";
    text += result.done ? " done" : "";
    for (const auto run : result.failed_runs)
        text += " failed " + std::to_string(run);
    for (const auto& [host, run] : result.going_on)
        text += " " + std::to_string(run) + " goes on on " + host;
    return text + "\n";
}

// The state of a successor to which the hosts report in this order. Nothing
// starts, as another host that may run the task does not answer.
conclusion conclude(
    const submission_record& submission, const std::vector<host_facts>& facts,
    const std::vector<std::size_t>& order, bool store_each)
{
    pool_driver d(9);
    std::vector<std::string> ids{"unreachable"};
    for (const auto& host : facts)
        ids.push_back(host.host);
    for (const auto& id : ids)
        d.restore_host(id);
    d.restore(submission);
    d.begin();
    d.list_hosts(ids);
    d.store();
    for (const auto at : order)
    {
        d.hold(facts[at].host, facts[at].running, facts[at].ended);
        d.tick();
        if (store_each)
            d.store();
    }
    d.store();
    return conclude(d.engine);
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

// Guards against review/7: a successor that read the failed end of an earlier
// run first stopped the newer run on another host.
TEST(pool_takeover, failed_end_of_an_earlier_run_keeps_the_newer_one)
{
    for (const bool end_first : {true, false})
    {
        pool_driver d(2);
        d.restore_host("a");
        d.restore_host("b");
        d.restore(long_running_submission(1));
        d.begin();
        d.list_hosts({"a", "b"});
        d.store();
        if (end_first)
            d.hold("a", {}, {ended_run(1, 0, 1, run_outcome::failed)});
        d.hold("b", {running_run(0, 2)});
        if (!end_first)
            d.hold("a", {}, {ended_run(1, 0, 1, run_outcome::failed)});
        d.store();
        d.advance(50ms);
        d.hold("a");
        d.hold("b", {running_run(0, 2)});
        d.tick();
        EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.all_effects).empty());
        EXPECT_TRUE(d.effects_of<pool_effect::start>(d.all_effects).empty());
        const auto& t = d.engine.state_of(submission_id)
                            ->occurrences.at(0)
                            .steps[0]
                            .tasks[0];
        EXPECT_EQ(t.phase, task_phase::running);
        EXPECT_EQ(t.run, 2U);
    }
}

// Guards against starting a task beside an earlier run of it that is being
// stopped, and on the very host that still has it, where the order was lost.
TEST(pool_takeover, task_starts_once_no_host_has_an_earlier_run)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore_host("b");
    d.restore(long_running_submission(1));
    d.begin();
    d.list_hosts({"a", "b"});
    d.store();
    d.hold("b", {running_run(0, 1)});
    d.hold("a", {}, {ended_run(1, 0, 2, run_outcome::stopped)});
    d.advance(50ms);
    d.hold("a");
    EXPECT_EQ(d.effects_of<pool_effect::stop>(d.all_effects).size(), 1U);
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.tick()).empty());
    d.hold("b", {running_run(0, 1)});
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.tick()).empty());
    d.hold("b", {}, {ended_run(1, 0, 1, run_outcome::stopped)});
    const auto starts = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(starts.size(), 1U);
    const auto& runs = d.engine.hosts().at(starts[0].host).runs;
    EXPECT_EQ(runs.at(task(0)).run, starts[0].run);
}

// A host may answer only after the tasks have been freed to start elsewhere.
TEST(pool_takeover, done_end_from_a_late_host_completes_a_task_that_runs_again)
{
    pool_driver d(2);
    d.restore_host("late");
    d.restore(pool_driver::make_submission(1));
    d.begin();
    d.list_hosts({"a"});
    d.store();
    d.advance(pool_terms().leases.takeover_wait() + 500ms);
    d.hold("a");
    d.answer_starts(d.tick());
    ASSERT_EQ(d.effects_of<pool_effect::start>(d.all_effects).size(), 1U);
    d.list_hosts({"a", "late"});
    d.hold("late", {}, {ended_run(1, 0, 1, run_outcome::done)});
    EXPECT_EQ(d.effects_of<pool_effect::stop>(d.all_effects).size(), 1U);
    d.store();
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::completed);
}

TEST(pool_takeover, done_member_completes_a_gang_that_runs_again)
{
    for (const bool end_first : {true, false})
    {
        auto gang = pool_driver::make_submission(2);
        gang.spec.steps[0].gang = true;
        pool_driver d(3);
        d.restore_host("a");
        d.restore_host("b");
        d.restore(gang);
        d.begin();
        d.list_hosts({"a", "b"});
        d.store();
        if (end_first)
            d.hold("a", {}, {ended_run(1, 0, 1, run_outcome::done)});
        d.hold("b", {running_run(0, 2), running_run(1, 2)});
        if (!end_first)
            d.hold("a", {}, {ended_run(1, 0, 1, run_outcome::done)});
        EXPECT_EQ(d.effects_of<pool_effect::stop>(d.all_effects).size(), 2U)
            << end_first;
        d.store();
        EXPECT_EQ(
            d.engine.find(submission_id)->phase, submission_phase::completed);
    }
}

// A task in progress without a run on any host must not exist. Should one, it
// goes on.
TEST(pool_takeover, task_in_progress_without_a_run_is_started_again)
{
    pool_driver d;
    d.engine.restore(
        pool_driver::make_submission(1), d.now, [](submission_state& s) {
            auto& occurrence = s.occurrences[0];
            occurrence.steps.resize(1);
            occurrence.steps[0].tasks.resize(1);
            occurrence.steps[0].tasks[0].phase = task_phase::starting;
            occurrence.steps[0].tasks[0].host = "a";
        });
    d.connect_hosts({"a"});
    d.tick();
    const auto decisions = d.effects_of<pool_effect::decision>(d.all_effects);
    EXPECT_EQ(
        std::ranges::count(
            decisions, "task_repaired", &pool_effect::decision::name),
        1);
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.all_effects).size(), 1U);
}

// The same facts, reported by the hosts in any order, with the changes stored
// after each report or after all, lead to the same runs.
RC_GTEST_PROP(pool_takeover, reports_in_any_order_lead_to_the_same_runs, ())
{
    const auto kind = *rc::gen::inRange(0, 3);
    auto submission = pool_driver::make_submission(1);
    submission.terms.max_attempts = 100;
    submission.spec.steps[0].long_running = kind == 1;
    submission.spec.steps[0].gang = kind == 2;
    constexpr std::uint32_t max_runs = 4;
    std::vector<host_facts> facts(3);
    std::vector<std::uint64_t> ends(facts.size());
    for (std::size_t i = 0; i < facts.size(); ++i)
        facts[i].host = std::string(1, static_cast<char>('a' + i));
    for (std::uint32_t run = 1; run <= max_runs; ++run)
    {
        const auto at = *rc::gen::inRange<std::size_t>(0, facts.size());
        switch (*rc::gen::inRange(0, 5))
        {
        case 0:
            facts[at].running = {running_run(0, run)};
            break;
        case 1:
        case 2:
            facts[at].ended.push_back(ended_run(
                ++ends[at], 0, run,
                *rc::gen::element(
                    run_outcome::failed, run_outcome::stopped,
                    run_outcome::lease_expired)));
            break;
        case 3:
            if (kind != 1)
                facts[at].ended.push_back(
                    ended_run(++ends[at], 0, run, run_outcome::done));
            break;
        default:
            break;
        }
    }
    // A host ends its run before it takes on a newer one.
    for (auto& host : facts)
        if (!host.running.empty() &&
            std::ranges::any_of(host.ended, [&](const ended_row& row) {
                return row.run > host.running.front().run;
            }))
            host.running.clear();
    std::vector<std::size_t> order(facts.size());
    std::iota(order.begin(), order.end(), 0);
    const auto first = conclude(submission, facts, order, false);
    while (std::ranges::next_permutation(order).found)
        for (const bool store_each : {false, true})
        {
            const auto other = conclude(submission, facts, order, store_each);
            if (other != first)
                RC_FAIL(
                    describe(facts, first) + "in another order:\n" +
                    describe({}, other));
        }
}

// Guards against review/8: ends of the other members of a gang were
// acknowledged before the end of the gang was stored, and the gang ran again.
TEST(pool_takeover, ends_of_a_gang_wait_for_the_first_to_be_stored)
{
    pool_driver d;
    auto gang = pool_driver::make_submission(4);
    gang.spec.steps[0].gang = true;
    gang.spec.steps[0].need = {8000, 1000, 0};
    d.connect_hosts({"a", "b"});
    d.submit(gang);
    const auto effects = d.tick();
    d.answer_starts(effects);
    std::map<std::string, std::vector<ended_row>> ends;
    for (const auto& order : d.effects_of<pool_effect::start>(effects))
    {
        auto& listed = ends[order.host];
        listed.push_back(
            {listed.size() + 1, order.task, order.run, run_outcome::done, {}});
    }
    ASSERT_EQ(ends.size(), 2U);
    for (const auto* host : {"a", "b"})
        d.hold(host, {}, ends[host]);
    for (const auto* host : {"a", "b"})
        EXPECT_EQ(d.engine.hosts().at(host).ack_cursor, 0U);
    d.store();
    for (const auto* host : {"a", "b"})
        EXPECT_EQ(d.engine.hosts().at(host).ack_cursor, 2U);
}

// The end of a run that goes on for a moment after an earlier one is done, and
// a second failure of the same run under two owners, change nothing any more.
TEST(pool_takeover, end_that_changes_nothing_waits_for_the_one_that_did)
{
    for (const auto outcome :
         {run_outcome::done, run_outcome::failed, run_outcome::stopped})
    {
        pool_driver d(3);
        d.restore_host("a");
        d.restore_host("b");
        d.restore(pool_driver::make_submission(2));
        d.begin();
        d.list_hosts({"a", "b"});
        d.store();
        d.hold("a", {}, {ended_run(1, 0, 1, run_outcome::done)});
        d.hold("b", {}, {ended_run(1, 0, 2, outcome)});
        EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 0U);
        EXPECT_EQ(d.engine.hosts().at("b").ack_cursor, 0U);
        d.store();
        EXPECT_EQ(d.engine.hosts().at("b").ack_cursor, 1U);
    }
}

TEST(pool_takeover, ends_of_a_finished_submission_wait_for_its_record)
{
    pool_driver d;
    d.connect_hosts({"a"});
    auto submission = pool_driver::make_submission(2);
    submission.terms.max_attempts = 1;
    d.submit(submission);
    d.answer_starts(d.tick());
    d.hold("a", {running_run(1, 1)}, {ended_run(1, 0, 1, run_outcome::failed)});
    d.store();
    ASSERT_EQ(d.engine.find(submission_id)->phase, submission_phase::failed);
    d.hold("a", {}, {ended_run(2, 1, 1, run_outcome::stopped)});
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 1U);
    d.store();
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 2U);
}

// The store takes the batch without the records that it refuses for good.
TEST(pool_takeover, end_in_a_refused_record_waits_for_that_of_the_submission)
{
    pool_driver d;
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(2));
    d.answer_starts(d.tick());
    d.hold("a", {running_run(1, 1)}, {ended_run(1, 0, 1, run_outcome::done)});
    const auto refused = d.engine.take_changes();
    d.apply(pool_event::records_refused{{submission_id}, {}});
    d.apply(pool_event::batch_stored{refused.batch});
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 0U);
    d.store();
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 1U);
}

// A failure that is not stored may be the last one that the task may have.
TEST(pool_takeover, task_starts_once_every_known_end_of_it_is_stored)
{
    pool_driver d(3);
    d.restore_host("a");
    d.restore_host("b");
    d.restore(pool_driver::make_submission(1));
    d.begin();
    d.list_hosts({"a", "b"});
    d.store();
    d.hold("a", {}, {ended_run(1, 0, 1, run_outcome::failed)});
    d.hold("b", {}, {ended_run(1, 0, 2, run_outcome::stopped)});
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.tick()).empty());
    d.store();
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.tick()).size(), 1U);
}

// Guards against an occurrence that the previous owner had opened by a clock
// that was ahead: ends of its tasks were acknowledged and dropped, and all ran
// again when it was due by the successor's clock.
TEST(pool_takeover, occurrence_of_a_clock_that_was_ahead_is_not_run_again)
{
    pool_driver d(2);
    auto timed = pool_driver::make_submission(2);
    timed.spec.repetitions = 1;
    timed.spec.first_due = d.now.wall + 1200ms;
    d.restore_host("a");
    d.restore(timed);
    d.begin();
    d.list_hosts({"a"});
    d.store();
    d.hold(
        "a", {running_run(1, 1, 10)}, {ended_run(1, 0, 1, run_outcome::done)});
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 0U);
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.all_effects).empty());
    d.store();
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 1U);
    for (int i = 0; i < 30; ++i)
    {
        d.advance(50ms);
        d.hold("a", {running_run(1, 1, 10)});
        d.tick();
    }
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.all_effects).empty());
    d.hold("a", {}, {ended_run(2, 1, 1, run_outcome::done)});
    d.store();
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::completed);
}

// Nothing tells which of the two clocks is right, and the previous owner has
// begun with the occurrence.
TEST(pool_takeover, occurrence_of_a_clock_that_was_ahead_goes_on)
{
    pool_driver d(2);
    auto timed = pool_driver::make_submission(2);
    timed.spec.repetitions = 1;
    timed.spec.first_due = d.now.wall + 1200ms;
    d.restore_host("a");
    d.restore(timed);
    d.begin();
    d.list_hosts({"a"});
    d.store();
    d.hold("a", {running_run(0, 1, 10)});
    d.store();
    const auto starts = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(starts.size(), 1U);
    EXPECT_EQ(starts[0].task, task(1));
}

// The previous owner may have opened an occurrence that comes due meanwhile.
TEST(pool_takeover, occurrence_due_before_the_takeover_settles_waits)
{
    pool_driver d(2);
    auto timed = pool_driver::make_submission(1);
    timed.spec.repetitions = 1;
    timed.spec.first_due = d.now.wall + 300ms;
    d.restore_host("a");
    d.restore_host("unreachable");
    d.restore(timed);
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
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.tick()).size(), 1U);
}

} // namespace dandeliontack::test
