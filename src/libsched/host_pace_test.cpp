#include "pool_driver.hpp"
#include <dandeliontack/host_pace.hpp>

#include <gtest/gtest.h>

namespace dandeliontack::test
{

namespace
{

// Two hosts, `estimate_factor`s of which are learned from `count` submissions
// that took as long as estimated.
struct slow_host_driver : pool_driver
{
    slow_host_driver() : pool_driver(1, terms())
    {
        connect_hosts({"a", "b"});
        for (std::uint64_t id = 1000; id < 1040; ++id)
            run_once(id);
    }

    static pool_terms terms()
    {
        pool_terms out;
        out.watch_pace = true;
        return out;
    }

    void run_once(std::uint64_t id)
    {
        submit(make_submission(1, id));
        const auto started = effects_of<pool_effect::start>(tick());
        ASSERT_EQ(started.size(), 1U);
        const auto& order = started.front();
        answer(order);
        advance(1s);
        for (const auto* host : {"a", "b"})
            if (order.host == host)
                hold(
                    host, {},
                    {{++ends[host],
                      order.task,
                      order.run,
                      run_outcome::done,
                      {}}});
            else
                hold(host);
        store();
    }

    void answer(const pool_effect::start& order)
    {
        apply(pool_event::start_answered{
            order.host, order.born, order.task, order.run,
            start_answer::started, now.steady.time_since_epoch()});
    }

    // Starts a task of each of two submissions of 2 s on one host.
    std::vector<pool_effect::start> start_two()
    {
        std::vector<pool_effect::start> out;
        for (const std::uint64_t id : {1U, 2U})
        {
            auto submission = make_submission(1, id);
            submission.spec.steps[0].estimate = 2s;
            submit(submission);
            for (const auto& order : effects_of<pool_effect::start>(tick()))
            {
                answer(order);
                out.push_back(order);
            }
        }
        return out;
    }

    // The hosts list the runs at `percent`, and the others at 1, after a
    // second.
    pool_effects progress(
        const std::vector<pool_effect::start>& runs, std::uint32_t percent,
        const std::vector<pool_effect::start>& others = {})
    {
        advance(1s);
        std::map<std::string, std::vector<running_row>> rows;
        for (const auto& order : runs)
            rows[order.host].push_back({order.task, order.run, {}, percent, 0});
        for (const auto& order : others)
            rows[order.host].push_back({order.task, order.run, {}, 1, 0});
        for (const auto* host : {"a", "b"})
            if (host != runs.front().host)
                hold(host, rows[host]);
        return hold(runs.front().host, rows[runs.front().host]);
    }

    std::map<std::string, std::uint64_t> ends;
};

std::vector<std::string> decisions(const pool_effects& effects)
{
    std::vector<std::string> out;
    for (const auto& item :
         pool_driver::effects_of<pool_effect::decision>(effects))
        out.emplace_back(item.name);
    return out;
}

} // namespace

// Load pattern: a few submissions are long on every host.
TEST(host_pace, one_long_submission_makes_no_host_slow)
{
    host_pace pace;
    boot_time now{1h};
    for (int i = 0; i < 10; ++i, now += 200ms)
        EXPECT_EQ(pace.add(1, true, now), host_pace::change::none);
    EXPECT_EQ(pace.add(2, false, now), host_pace::change::none);
    EXPECT_EQ(pace.add(3, true, now), host_pace::change::none);
    EXPECT_FALSE(pace.is_suspect(now));
}

TEST(host_pace, slow_host_is_avoided_longer_each_time_until_it_is_restored)
{
    host_pace pace;
    boot_time now{1h};
    pace.add(1, true, now);
    ASSERT_EQ(pace.add(2, true, now), host_pace::change::slow);
    EXPECT_TRUE(pace.is_avoided(now + 1999ms));
    now += 2s;
    EXPECT_FALSE(pace.is_avoided(now));
    ASSERT_EQ(pace.add(3, true, now), host_pace::change::slow);
    EXPECT_TRUE(pace.is_avoided(now + 3999ms));
    now += 4s;
    EXPECT_TRUE(pace.is_suspect(now));
    EXPECT_EQ(pace.add(4, false, now), host_pace::change::restored);
    EXPECT_FALSE(pace.is_suspect(now));
}

// A host that long-running tasks hold gets no others that could clear it.
TEST(host_pace, slow_host_without_new_tasks_is_used_again)
{
    host_pace pace;
    boot_time now{1h};
    pace.add(1, true, now);
    ASSERT_EQ(pace.add(2, true, now), host_pace::change::slow);
    EXPECT_TRUE(pace.is_suspect(now + 9s));
    EXPECT_FALSE(pace.is_suspect(now + 11s));
}

// Load pattern: a host runs everything seven times slower.
TEST(host_pace, tasks_leave_a_host_that_slows_all_submissions)
{
    slow_host_driver d;
    const auto runs = d.start_two();
    ASSERT_EQ(runs.size(), 2U);
    ASSERT_EQ(runs[0].host, runs[1].host);
    d.progress(runs, 50);
    const auto effects = d.progress(runs, 57);
    const auto names = decisions(effects);
    EXPECT_EQ(std::ranges::count(names, "host_slow"), 1);
    const auto stops = d.effects_of<pool_effect::stop>(d.tick());
    ASSERT_EQ(stops.size(), 2U);
    // Nothing is started elsewhere before the host lists the ends.
    EXPECT_TRUE(d.effects_of<pool_effect::start>(d.tick()).empty());
    std::vector<ended_row> ended;
    ended.reserve(runs.size());
    for (const auto& run : runs)
        ended.push_back(
            {++d.ends[run.host], run.task, run.run, run_outcome::stopped, {}});
    d.hold(runs[0].host, {}, ended);
    d.store();
    const auto again = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(again.size(), 2U);
    for (const auto& order : again)
        EXPECT_NE(order.host, runs[0].host);
}

// Load pattern: two submissions that take seven times as long as the others
// meet on a host, and run on another one as well.
TEST(host_pace, long_submissions_are_told_from_a_slow_host_by_their_other_tasks)
{
    slow_host_driver d;
    std::vector<pool_effect::start> runs;
    for (const std::uint64_t id : {1U, 2U})
    {
        auto submission = pool_driver::make_submission(2, id);
        submission.spec.steps[0].most_per_host = 1;
        d.submit(submission);
        for (const auto& order : d.effects_of<pool_effect::start>(d.tick()))
        {
            d.answer(order);
            runs.push_back(order);
        }
    }
    ASSERT_EQ(runs.size(), 4U);
    for (std::uint32_t percent = 14; percent < 90; percent += 14)
    {
        d.advance(1s);
        for (const auto* host : {"a", "b"})
        {
            std::vector<running_row> rows;
            for (const auto& order : runs)
                if (order.host == host)
                    rows.push_back({order.task, order.run, {}, percent, 0});
            d.hold(host, rows);
        }
        d.tick();
    }
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.all_effects).empty());
}

// Load pattern: one submission takes seven times as long as the others.
TEST(host_pace, tasks_of_one_long_submission_go_on)
{
    slow_host_driver d;
    auto submission = pool_driver::make_submission(4, 1);
    d.submit(submission);
    const auto runs = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(runs.size(), 4U);
    for (const auto& order : runs)
        d.answer(order);
    d.progress(runs, 14);
    const auto effects = d.progress(runs, 28);
    EXPECT_TRUE(decisions(effects).empty());
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.tick()).empty());
}

// Long tasks that run on a slow host are left there if no other has room.
TEST(host_pace, tasks_stay_where_nothing_else_has_room)
{
    slow_host_driver d;
    const auto runs = d.start_two();
    ASSERT_EQ(runs.size(), 2U);
    auto filler = pool_driver::make_submission(30, 3);
    filler.spec.steps[0].estimate = 60s;
    d.submit(filler);
    const auto others = d.effects_of<pool_effect::start>(d.tick());
    ASSERT_EQ(others.size(), 30U);
    for (const auto& order : others)
        d.answer(order);
    d.progress(runs, 50, others);
    const auto effects = d.progress(runs, 57, others);
    EXPECT_EQ(std::ranges::count(decisions(effects), "host_slow"), 1);
    EXPECT_TRUE(d.effects_of<pool_effect::stop>(d.tick()).empty());
}

} // namespace dandeliontack::test
