#include "pool_driver.hpp"

#include <gtest/gtest.h>

namespace dandeliontack::test
{

// Guards against extending the lease of a host that no longer answers: its runs
// were never released. Found on bench day scale-1.
TEST(pool_hosts, silent_host_gets_no_new_lease)
{
    pool_driver d;
    d.connect_hosts({"a"});
    EXPECT_TRUE(d.engine.extend_lease("a", d.now));
    d.advance(5s);
    EXPECT_FALSE(d.engine.extend_lease("a", d.now));
}

// Load pattern: the load peak of another pool needs hosts of this pool, all of
// which run late work.
TEST(pool_hosts, lent_host_gets_no_tasks_until_lending_expires)
{
    pool_driver d;
    d.connect_hosts({"a", "b", "c"});
    // Sixteen one-core tasks fill a host, so the three hosts run 16, 16 and 8.
    d.submit(pool_driver::make_submission(40));
    const auto first = d.tick();
    ASSERT_EQ(d.effects_of<pool_effect::start>(first).size(), 40U);
    d.answer_starts(first);
    const auto lent = d.apply(pool_event::lending_requested{"pool", 1});
    const auto decisions = d.effects_of<pool_effect::decision>(lent);
    ASSERT_EQ(decisions.size(), 1U);
    const auto host = decisions[0].host;
    EXPECT_EQ(d.engine.hosts().at(host).runs.size(), 8U);
    d.submit(pool_driver::make_submission(8, 0x12));
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.tick()).empty());
    // The host is used again once the lending request has expired.
    d.advance(1s);
    for (const auto* id : {"a", "b", "c"})
        d.hold(id);
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.tick()).size(), 8U);
}

TEST(pool_hosts, late_work_is_counted_separately)
{
    pool_driver d;
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(32));
    d.answer_starts(d.tick());
    auto demand = d.engine.demands(d.now).front();
    EXPECT_DOUBLE_EQ(demand.running, 1.0);
    EXPECT_DOUBLE_EQ(demand.waiting_ms, 1000.0);
    EXPECT_DOUBLE_EQ(demand.late_ms, 0.0);
    // The objective is 2 x 1 s + 0.6 s.
    d.advance(1700ms);
    demand = d.engine.demands(d.now).front();
    EXPECT_DOUBLE_EQ(demand.running, 0.0);
    EXPECT_DOUBLE_EQ(demand.waiting_ms, 0.0);
    EXPECT_DOUBLE_EQ(demand.late_running, 1.0);
    EXPECT_DOUBLE_EQ(demand.late_ms, 1000.0);
}

// Load pattern: long submissions of several steps. Guards against counting
// steps whose predecessors are not done as if they could start within the
// demand horizon of 1.5 s: a pool that needed 130 machines took 250. Found on
// bench day scale-1 of belfry-ops-grown.
TEST(pool_hosts, steps_not_ready_add_no_waiting_demand)
{
    pool_driver d;
    d.connect_hosts({"a"});
    auto chain = pool_driver::make_submission(32);
    chain.spec.steps[0].estimate = 4000ms;
    chain.spec.steps.push_back(chain.spec.steps[0]);
    chain.spec.steps[1].dependencies = {0};
    d.submit(chain);
    d.answer_starts(d.tick());
    const auto demand = d.engine.demands(d.now).front();
    // Sixteen of 32 tasks wait, each of which fills a sixteenth of a host.
    EXPECT_DOUBLE_EQ(demand.running, 1.0);
    EXPECT_DOUBLE_EQ(
        demand.waiting_ms, static_cast<double>(demand_horizon.count()));
}

TEST(pool_hosts, task_of_silent_host_restarts_only_after_lease_expiry)
{
    pool_driver d;
    d.connect_hosts({"a", "b"});
    d.submit(pool_driver::make_submission(1));
    const auto first = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(first.size(), 1U);
    d.engine.extend_lease(first[0].host, d.now);
    d.answer_starts({first[0]});
    const std::string other = first[0].host == "a" ? "b" : "a";
    const auto bound = pool_terms().leases.lease;
    auto waited = 0ms;
    std::vector<pool_effect::start> second;
    while (second.empty() && waited < 10s)
    {
        d.advance(100ms);
        waited += 100ms;
        d.hold(other);
        second = d.effects_of<pool_effect::start>(d.tick());
    }
    // The clock of the silent host may run 2 % slow.
    EXPECT_GT(waited, bound * 102 / 100);
    EXPECT_LT(waited, bound + 500ms);
    ASSERT_EQ(second.size(), 1U);
    EXPECT_EQ(second[0].host, other);
    EXPECT_GT(second[0].run, first[0].run);
}

TEST(pool_hosts, unanswered_start_is_stopped_before_the_task_restarts)
{
    pool_driver d;
    d.connect_hosts({"a", "b"});
    d.submit(pool_driver::make_submission(1));
    const auto first = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(first.size(), 1U);
    const auto& order = first[0];
    auto effects = d.apply(pool_event::start_answered{
        order.host,
        order.born,
        order.task,
        order.run,
        start_answer::unknown,
        {}});
    ASSERT_EQ(d.effects_of<pool_effect::stop>(effects).size(), 1U);
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.tick()).empty());
    d.apply(pool_event::stop_answered{
        order.host, order.born, order.task, order.run, true});
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.tick()).empty());
    d.advance(10ms);
    // A report requested after the stop was acknowledged does not list the run,
    // so it can no longer start.
    d.hold(order.host);
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.tick()).size(), 1U);
}

TEST(pool_hosts, end_is_acknowledged_only_after_it_is_stored)
{
    pool_driver d;
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(1));
    d.answer_starts(d.tick());
    d.advance(1s);
    d.hold("a", {}, {ended_run(1, 0, 1, run_outcome::done)});
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 0U);
    EXPECT_NE(d.engine.find(submission_id)->phase, submission_phase::completed);
    d.store();
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 1U);
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::completed);
}

TEST(pool_hosts, runs_are_released_when_another_incarnation_answers)
{
    pool_driver d;
    d.connect_hosts({"a", "b"});
    d.submit(pool_driver::make_submission(1));
    const auto first = d.effects_of<pool_effect::start>(d.tick());
    d.answer_starts({first[0]});
    d.apply(pool_event::host_incarnation_ended{
        first[0].host, d.now.steady, d.now.steady});
    const auto again = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(again.size(), 1U);
    EXPECT_NE(again[0].host, first[0].host);
}

// A start that was in flight when the host restarted may have reached the new
// incarnation, which then reports the run.
TEST(pool_hosts, run_reported_by_the_new_incarnation_is_kept)
{
    pool_driver d;
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(1));
    d.answer_starts(d.tick());
    host_report report;
    report.clock = 5ms;
    report.born = 2ms;
    report.running = {running_run(0, 1, 10)};
    d.advance(300ms);
    d.apply(pool_event::host_reported{"a", 1ms, d.now.steady, report});
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.all_effects).empty());
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.tick()).size(), 0U);
    EXPECT_EQ(d.engine.hosts().at("a").runs.size(), 1U);
}

TEST(pool_hosts, host_is_suspended_when_several_submissions_fail_there)
{
    pool_driver d;
    d.connect_hosts({"bad", "good"});
    std::uint64_t number = 0;
    for (std::uint64_t id = 1; id <= 8; ++id)
    {
        d.submit(pool_driver::make_submission(1, id));
        for (int tries = 0; tries < 3; ++tries)
        {
            const auto effects = d.tick();
            d.answer_starts(effects);
            for (const auto& order : d.effects_of<pool_effect::start>(effects))
            {
                d.advance(20ms);
                if (order.host == "bad")
                    d.hold(
                        "bad", {},
                        {{++number,
                          order.task,
                          order.run,
                          run_outcome::failed,
                          {}}});
                else
                    d.hold(
                        "good", {},
                        {{++number,
                          order.task,
                          order.run,
                          run_outcome::done,
                          {}}});
                d.store();
            }
            d.hold("bad");
            d.hold("good");
        }
    }
    const auto starts = d.effects_of<pool_effect::start>(d.all_effects);
    const auto on_bad =
        std::ranges::count(starts, "bad", &pool_effect::start::host);
    EXPECT_LE(on_bad, 4);
    for (std::uint64_t id = 1; id <= 8; ++id)
        EXPECT_EQ(d.engine.find(id)->phase, submission_phase::completed);
}

// Load pattern: submissions that can never succeed. They fail on every host and
// must not count against any.
TEST(pool_hosts, tasks_failing_on_every_host_suspend_no_host)
{
    pool_driver d;
    d.connect_hosts({"a", "b", "c"});
    std::map<std::string, std::uint64_t> numbers;
    for (std::uint64_t id = 1; id <= 12; ++id)
        d.submit(pool_driver::make_submission(1, id));
    std::size_t suspended = 0;
    for (int round = 0; round < 6; ++round)
    {
        const auto effects = d.tick();
        d.answer_starts(effects);
        d.advance(20ms);
        std::map<std::string, std::vector<ended_row>> ends;
        for (const auto& order : d.effects_of<pool_effect::start>(effects))
            ends[order.host].push_back(
                {++numbers[order.host],
                 order.task,
                 order.run,
                 run_outcome::failed,
                 {}});
        for (const auto& [host, rows] : ends)
            d.hold(host, {}, rows);
        d.store();
        for (const auto* id : {"a", "b", "c"})
            d.hold(id);
        suspended = 0;
        for (const auto& [id, h] : d.engine.hosts())
            suspended += h.health.avoid_until > d.now.steady ? 1 : 0;
    }
    EXPECT_EQ(suspended, 0U);
    for (std::uint64_t id = 1; id <= 12; ++id)
        EXPECT_EQ(d.engine.find(id)->phase, submission_phase::failed);
}

TEST(pool_hosts, evacuation_stops_no_task_while_another_is_on_a_silent_host)
{
    pool_driver d;
    auto submission = pool_driver::make_submission(2);
    submission.spec.steps[0].long_running = true;
    submission.spec.steps[0].max_unavailable = 1;
    submission.spec.steps[0].most_per_host = 1;
    d.connect_hosts({"a", "b", "c"});
    d.submit(submission);
    const auto starts = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(starts.size(), 2U);
    for (const auto& order : starts)
        d.answer_starts({order});
    const auto row = [](const pool_effect::start& order) {
        return running_row{order.task, order.run, {}, 100, 0};
    };
    for (int i = 0; i < 5; ++i)
    {
        d.advance(500ms);
        for (const auto& order : starts)
            d.hold(order.host, {row(order)});
    }
    const std::string third = [&] {
        for (const auto* id : {"a", "b"})
            if (id != starts[0].host && id != starts[1].host)
                return id;
        return "c";
    }();
    // The first host stops answering, and the second is to be evacuated.
    for (int i = 0; i < 4; ++i)
    {
        d.advance(500ms);
        d.hold(starts[1].host, {row(starts[1])});
        d.hold(third);
    }
    d.apply(
        pool_event::evacuation_requested{starts[1].host, d.now.steady + 3s});
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.all_effects).empty());
    d.hold(starts[0].host, {row(starts[0])});
    d.apply(
        pool_event::evacuation_requested{starts[1].host, d.now.steady + 3s});
    EXPECT_EQ(d.effects_of<pool_effect::stop>(d.all_effects).size(), 1U);
}

// Guards against a stop that never completes. A hold call that waits for an end
// takes longer than the stop retry delay; when each retry renewed the time of
// acknowledgement, every report was older than it and was ignored, so the task
// never restarted. Found on bench day mix --seed 212484792745.
TEST(pool_hosts, stop_completes_when_reports_are_slower_than_stop_retries)
{
    pool_driver d;
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(1));
    const auto first = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(first.size(), 1U);
    const auto& order = first[0];
    d.apply(pool_event::start_answered{
        order.host,
        order.born,
        order.task,
        order.run,
        start_answer::unknown,
        {}});
    const auto take_stops = [&](const pool_effects& effects) {
        for (const auto& stop : d.effects_of<pool_effect::stop>(effects))
            d.apply(pool_event::stop_answered{
                stop.host, stop.born, stop.task, stop.run, true});
    };
    take_stops(d.all_effects);
    auto sent = d.now.steady;
    std::size_t starts = 0;
    for (int i = 0; i < 60; ++i)
    {
        d.advance(100ms);
        const auto effects = d.tick();
        take_stops(effects);
        starts += d.effects_of<pool_effect::start>(effects).size();
        if (i % 16 != 15)
            continue;
        host_report report;
        report.clock = d.now.steady.time_since_epoch();
        d.apply(pool_event::host_reported{"a", 1ms, sent, report});
        d.engine.extend_lease("a", d.now);
        sent = d.now.steady;
    }
    EXPECT_EQ(starts, 1U);
}

// Guards against evacuating a long-running task while no other host of its pool
// has room for it: the task was down for 13 s. Found on bench day quiet-1
// --seed 402649453402.
TEST(pool_hosts, long_running_task_is_not_evacuated_without_another_host)
{
    pool_driver d;
    auto submission = pool_driver::make_submission(2);
    submission.spec.steps[0].long_running = true;
    submission.spec.steps[0].max_unavailable = 1;
    submission.spec.steps[0].most_per_host = 1;
    d.connect_hosts({"a", "b"});
    d.submit(submission);
    const auto starts = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(starts.size(), 2U);
    for (const auto& order : starts)
        d.answer_starts({order});
    const auto hold_both = [&] {
        for (const auto& order : starts)
            d.hold(order.host, {{order.task, order.run, {}, 100, 0}});
    };
    for (int i = 0; i < 5; ++i)
    {
        d.advance(500ms);
        hold_both();
    }
    d.apply(
        pool_event::evacuation_requested{starts[0].host, d.now.steady + 3s});
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.all_effects).empty());
    d.connect_hosts({"a", "b", "c"});
    hold_both();
    d.apply(
        pool_event::evacuation_requested{starts[0].host, d.now.steady + 3s});
    EXPECT_EQ(d.effects_of<pool_effect::stop>(d.all_effects).size(), 1U);
}

// Guards against mistaking missing reports for a stall: runs were stopped on
// hosts that answered starts while their reports were lost.
TEST(pool_hosts, late_reports_do_not_stop_runs)
{
    pool_driver d;
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(2));
    const auto starts = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(starts.size(), 2U);
    d.hold("a", {running_run(0, 1, 10)});
    d.advance(2500ms);
    // The second start is answered only now, and no report has arrived since.
    d.apply(pool_event::start_answered{
        "a", 1ms, starts[1].task, starts[1].run, start_answer::started,
        d.now.steady.time_since_epoch()});
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.tick()).empty());
    d.hold("a", {running_run(0, 1, 60), running_run(1, 1, 1)});
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.tick()).empty());
}

TEST(pool_hosts, run_reported_without_progress_is_stopped)
{
    pool_driver d;
    d.connect_hosts({"a", "b"});
    d.submit(pool_driver::make_submission(1));
    const auto starts = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(starts.size(), 1U);
    d.answer_starts(d.all_effects);
    for (int i = 0; i < 9; ++i)
    {
        d.hold(starts[0].host, {running_run(0, 1, 10)});
        d.advance(200ms);
    }
    const auto stops = d.effects_of<pool_effect::stop>(d.tick());
    ASSERT_EQ(stops.size(), 1U);
    EXPECT_EQ(stops[0].task, task(0));
}

// Load pattern: a wave of upkeep empties hosts in a load peak. Tasks that would
// end within the time that an evacuation takes are left to run; those that
// would not, and those of a host that is about to leave, are stopped and resume
// elsewhere.
TEST(pool_hosts, evacuation_leaves_tasks_that_end_soon)
{
    struct load
    {
        std::chrono::milliseconds estimate;
        bool draining = false;
        std::size_t stops = 0;
    };
    for (const auto& [estimate, draining, stops] :
         {load{1300ms, false, 0}, load{6000ms, false, 4},
          load{1300ms, true, 4}})
    {
        pool_driver d;
        auto submission = pool_driver::make_submission(4);
        submission.spec.steps[0].checkpoints = true;
        submission.spec.steps[0].estimate = estimate;
        d.connect_hosts({"a"});
        d.submit(submission);
        d.answer_starts(d.tick());
        d.advance(200ms);
        if (draining)
        {
            auto entry = pool_driver::host("a");
            entry.draining = true;
            d.apply(pool_event::hosts_listed{{entry}});
            d.tick();
        }
        else
            d.apply(pool_event::evacuation_requested{"a", d.now.steady + 3s});
        EXPECT_EQ(d.effects_of<pool_effect::stop>(d.all_effects).size(), stops);
    }
}

// A task that runs far beyond its estimate may run for long.
TEST(pool_hosts, evacuation_stops_a_task_far_beyond_its_estimate)
{
    pool_driver d;
    auto submission = pool_driver::make_submission(1);
    submission.spec.steps[0].checkpoints = true;
    d.connect_hosts({"a"});
    d.submit(submission);
    d.answer_starts(d.tick());
    for (std::uint32_t percent = 1; percent < 30; ++percent)
    {
        d.advance(100ms);
        d.hold("a", {running_run(0, 1, percent)});
    }
    d.apply(pool_event::evacuation_requested{"a", d.now.steady + 3s});
    EXPECT_EQ(d.effects_of<pool_effect::stop>(d.all_effects).size(), 1U);
}

// Guards against giving up runs whose ends are in the part of a host's list
// that several answers in a row leave out, as happens under one owner while the
// store is slow. The tasks ran again after they had ended as done.
TEST(pool_hosts, runs_missing_from_cut_lists_are_kept)
{
    pool_driver d;
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(2));
    d.answer_starts(d.tick());
    for (int i = 0; i < 4; ++i)
    {
        d.advance(50ms);
        d.hold_cut("a", {ended_run(1, 0, 1, run_outcome::done)});
        d.tick();
    }
    EXPECT_EQ(d.engine.hosts().at("a").runs.size(), 1U);
    d.store();
    d.hold("a", {}, {ended_run(2, 1, 1, run_outcome::done)});
    d.store();
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.all_effects).size(), 2U);
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::completed);
}

// A stop that the host has acknowledged says nothing about the run's end while
// the list is cut: it may have ended as done before the stop.
TEST(pool_hosts, stopped_run_missing_from_a_cut_list_is_kept)
{
    pool_driver d;
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(1));
    d.answer_starts(d.tick());
    d.advance(50ms);
    d.hold("a", {running_run(0, 1, 10)});
    d.apply(pool_event::cancelled{submission_id});
    d.store();
    d.apply(pool_event::stop_answered{"a", 1ms, task(0), 1, true});
    d.advance(50ms);
    d.hold_cut("a", {ended_run(1, 7, 1, run_outcome::done)});
    EXPECT_EQ(d.engine.hosts().at("a").runs.size(), 1U);
    d.hold("a");
    EXPECT_TRUE(d.engine.hosts().at("a").runs.empty());
}

// Guards against throwing away work of a host that is slow to answer: the start
// got no answer in time, but the host lists the run.
TEST(pool_hosts, listed_run_is_kept_when_its_start_got_no_answer)
{
    pool_driver d;
    d.connect_hosts({"a"});
    d.submit(pool_driver::make_submission(1));
    const auto starts = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(starts.size(), 1U);
    d.advance(50ms);
    d.hold("a", {running_run(0, 1, 10)});
    d.apply(pool_event::start_answered{
        "a", 1ms, task(0), 1, start_answer::unknown, {}});
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.all_effects).empty());
    d.hold("a", {}, {ended_run(1, 0, 1, run_outcome::done)});
    d.store();
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::completed);
}

// Guards against adding up the failed runs of a gang's members: with three
// attempts, a gang of four was shown as failed after it had failed once.
TEST(pool_hosts, failed_run_of_a_gang_is_one_attempt)
{
    pool_driver d;
    d.connect_hosts({"a"});
    auto submission = pool_driver::make_submission(4);
    submission.spec.steps[0].gang = true;
    d.submit(submission);
    std::uint64_t number = 0;
    for (std::uint32_t attempt = 1; attempt <= 3; ++attempt)
    {
        EXPECT_FALSE(is_terminal(d.engine.find(submission_id)->phase));
        // The host is suspended after failures.
        d.advance(10s);
        d.hold("a");
        const auto starts = d.effects_of<pool_effect::start>(d.tick());
        ASSERT_EQ(starts.size(), 4U) << attempt;
        d.answer_starts({starts.begin(), starts.end()});
        std::vector<ended_row> ends;
        ends.reserve(starts.size());
        for (std::uint32_t i = 0; i < starts.size(); ++i)
            ends.push_back(
                ended_run(++number, i, starts[0].run, run_outcome::failed));
        d.hold("a", {}, ends);
        d.store();
    }
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::failed);
}

// Guards against starts that wait behind thousands of others of a slow host
// until they are given up unsent, and are then ordered anew elsewhere, again
// and again.
TEST(pool_hosts, slow_host_gets_a_limited_number_of_starts)
{
    pool_driver d;
    d.connect_hosts({"slow", "quick"});
    auto submission = pool_driver::make_submission(200);
    submission.spec.steps[0].need = {10, 10, 0};
    d.submit(submission);
    const auto on = [](const auto& starts, std::string_view host) {
        return std::ranges::count(starts, host, &pool_effect::start::host);
    };
    const auto first = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(on(first, "slow"), on(first, "quick"));
    ASSERT_LT(first.size(), 100U);
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.tick()).empty());
    // The host that answers gets the rest.
    for (int i = 0; i < 8; ++i)
    {
        for (const auto& order :
             d.effects_of<pool_effect::start>(d.all_effects))
            if (order.host == "quick")
                d.apply(pool_event::start_answered{
                    order.host, order.born, order.task, order.run,
                    start_answer::started, d.now.steady.time_since_epoch()});
        d.tick();
    }
    const auto all = d.effects_of<pool_effect::start>(d.all_effects);
    EXPECT_EQ(all.size(), 200U);
    EXPECT_EQ(on(all, "slow"), on(first, "slow"));
}

// Guards against applying a late report of a departure to the incarnation that
// has begun since: its tasks were started elsewhere beside it.
TEST(pool_hosts, end_of_an_earlier_incarnation_leaves_the_later_one_alone)
{
    pool_driver d;
    d.connect_hosts({"a", "b"});
    d.submit(pool_driver::make_submission(1));
    const auto first = d.effects_of<pool_effect::start>(d.tick());
    d.answer_starts({first[0]});
    const auto id = first[0].host;
    // A list that is on its way does not name the host.
    const auto asked = d.now.steady;
    d.advance(20ms);
    auto back = pool_driver::host(id);
    back.born = 2ms;
    const auto other = id == "a" ? "b" : "a";
    d.apply(pool_event::hosts_listed{{back, pool_driver::host(other)}});
    host_report report;
    report.clock = 5ms;
    report.born = 2ms;
    report.running = {running_run(0, 1, 10)};
    d.apply(pool_event::host_reported{id, 2ms, d.now.steady, report});
    d.advance(50ms);
    d.apply(pool_event::host_incarnation_ended{id, asked, d.now.steady});
    EXPECT_EQ(d.engine.hosts().at(id).runs.size(), 1U);
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.tick()).empty());
    d.apply(pool_event::host_incarnation_ended{id, d.now.steady, d.now.steady});
    EXPECT_FALSE(d.engine.hosts().contains(id));
}

// A list that lacks a host which lives, or that was made before the host's last
// answer, says nothing of it.
TEST(pool_hosts, answer_to_a_later_call_refutes_the_end_of_a_host)
{
    pool_driver d;
    d.connect_hosts({"a"});
    const auto seen = d.now.steady;
    d.advance(10ms);
    d.hold("a");
    d.apply(pool_event::host_incarnation_ended{"a", seen, seen});
    EXPECT_TRUE(d.engine.hosts().contains("a"));
    d.apply(
        pool_event::host_incarnation_ended{"a", d.now.steady, d.now.steady});
    EXPECT_FALSE(d.engine.hosts().contains("a"));
}

// A host may be back with other labels and another capacity. Until its entry is
// read, or if only that of its earlier incarnation is, nothing starts there.
TEST(pool_hosts, incarnation_is_not_used_by_the_entry_of_an_earlier_one)
{
    pool_driver d;
    d.connect_hosts({"a"});
    host_report report;
    report.clock = 5ms;
    report.born = 2ms;
    d.apply(pool_event::host_reported{"a", 1ms, d.now.steady, report});
    d.engine.extend_lease("a", d.now);
    d.store();
    auto submission = pool_driver::make_submission(1);
    submission.spec.steps[0].label = "old";
    auto entry = pool_driver::host("a");
    entry.labels = {"old"};
    d.apply(pool_event::hosts_listed{{entry}});
    d.submit(submission);
    d.advance(100ms);
    d.apply(pool_event::host_reported{"a", 2ms, d.now.steady, report});
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.tick()).empty());
    entry.born = 2ms;
    d.apply(pool_event::hosts_listed{{entry}});
    d.store();
    EXPECT_EQ(d.effects_of<pool_effect::start>(d.tick()).size(), 1U);
}

// Guards against review/9: a submission was taken as failed while its last
// failure was not stored. What ended then was acknowledged and forgotten, and a
// successor ran it again.
TEST(pool_hosts, failures_of_a_later_batch_do_not_count_with_an_earlier_one)
{
    pool_driver d;
    d.connect_hosts({"a"});
    auto submission = pool_driver::make_submission(3);
    submission.terms.max_attempts = 1;
    d.submit(submission);
    d.answer_starts(d.tick());
    d.hold("a", {}, {ended_run(1, 1, 1, run_outcome::done)});
    const auto first = d.engine.take_changes();
    d.hold("a", {}, {ended_run(2, 0, 1, run_outcome::failed)});
    d.apply(pool_event::batch_stored{first.batch});
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::running);
    d.hold("a", {}, {ended_run(3, 2, 1, run_outcome::done)});
    EXPECT_EQ(d.engine.hosts().at("a").ack_cursor, 1U);
    d.store();
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::failed);
}

TEST(pool_hosts, gang_fails_once_its_failures_are_stored)
{
    pool_driver d(3);
    d.restore_host("a");
    d.restore_host("b");
    auto gang = pool_driver::make_submission(2);
    gang.terms.max_attempts = 2;
    gang.spec.steps[0].gang = true;
    d.restore(gang);
    d.begin();
    d.list_hosts({"a", "b"});
    d.store();
    d.hold("a", {}, {ended_run(1, 0, 1, run_outcome::failed)});
    const auto first = d.engine.take_changes();
    d.hold("b", {}, {ended_run(1, 1, 2, run_outcome::failed)});
    d.apply(pool_event::batch_stored{first.batch});
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::running);
    d.store();
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::failed);
}

// A successor would not know of the cancel.
TEST(pool_hosts, run_is_not_stopped_for_a_cancel_that_is_not_stored)
{
    pool_driver d(2);
    d.restore_host("a");
    d.restore(pool_driver::make_submission(1));
    d.begin();
    d.list_hosts({"a"});
    d.store();
    d.apply(pool_event::cancelled{submission_id});
    d.hold("a", {running_run(0, 1)});
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.all_effects).empty());
    d.store();
    EXPECT_EQ(d.effects_of<pool_effect::stop>(d.all_effects).size(), 1U);
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::cancelled);
}

// A phase is shown once a successor would show it too.
TEST(pool_hosts, phase_that_only_this_owner_knows_is_not_shown)
{
    pool_driver d;
    d.connect_hosts({"a"});
    d.apply(pool_event::submitted{pool_driver::make_submission(1)});
    const auto accepted_in = d.engine.find(submission_id)->shown_after;
    EXPECT_EQ(d.store().batch, accepted_in);
    EXPECT_EQ(d.engine.find(submission_id)->shown_after, 0U);
    d.answer_starts(d.tick());
    d.apply(pool_event::records_refused{{submission_id}, {}});
    EXPECT_EQ(d.engine.find(submission_id)->phase, submission_phase::failed);
    const auto shown_after = d.engine.find(submission_id)->shown_after;
    EXPECT_EQ(d.store().batch, shown_after);
}

} // namespace dandeliontack::test
