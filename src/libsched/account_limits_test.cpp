#include "pool_driver.hpp"

#include <gtest/gtest.h>

namespace dandeliontack
{

namespace
{

using namespace std::chrono_literals;
using test::pool_driver;

constexpr std::uint64_t version = 3;

pool_event::accounts_changed limited_to(resources limit)
{
    auto table = std::make_shared<account_table>();
    client_account entry;
    entry.name = "acme";
    entry.limit = limit;
    table->add(std::move(entry), {});
    return {std::move(table), version};
}

pool_event::allotments_called
allot(resources room, std::uint64_t sequence = 1, std::uint64_t epoch = 1)
{
    return {{1, sequence, epoch, version, false, {{"acme", room}}}};
}

submission_record of_account(submission_record record)
{
    record.account = "acme";
    return record;
}

std::size_t starts_in(const pool_effects& effects)
{
    return static_cast<std::size_t>(
        std::ranges::count_if(effects, [](const auto& effect) {
            return std::holds_alternative<pool_effect::start>(effect);
        }));
}

std::vector<std::string_view> decisions_in(const pool_effects& effects)
{
    std::vector<std::string_view> names;
    for (const auto& effect : effects)
        if (const auto* made = std::get_if<pool_effect::decision>(&effect))
            names.push_back(made->name);
    return names;
}

} // namespace

// Load pattern: an account sends more at once than its part of the limit lets
// run, and others wait behind it.
TEST(account_limits, tasks_start_up_to_the_allotment_and_others_go_on)
{
    pool_driver pool;
    pool.connect_hosts({"h1"});
    pool.apply(limited_to({8000, 0, 0}));
    pool.submit(of_account(pool_driver::make_submission(6, 0x11)));
    EXPECT_EQ(starts_in(pool.tick()), 0U);
    pool.apply(allot({4500, 0, 0}));
    const auto effects = pool.tick();
    EXPECT_EQ(starts_in(effects), 4U);
    pool.submit(pool_driver::make_submission(2, 0x12));
    EXPECT_EQ(starts_in(pool.tick()), 2U);
    const auto report = pool.engine.report_allotments(allot({}).call);
    ASSERT_EQ(report.rows.size(), 1U);
    EXPECT_EQ(report.rows[0].used.cpu_milli, 4000);
    EXPECT_EQ(report.rows[0].wanted.cpu_milli, 2000);
    EXPECT_EQ(report.rows[0].unit.cpu_milli, 1000);
}

// Load pattern: gangs of an account wait while single tasks of it come and go.
TEST(account_limits, gang_starts_whole_or_not_at_all)
{
    pool_driver pool;
    pool.connect_hosts({"h1"});
    pool.apply(limited_to({8000, 0, 0}));
    pool.apply(allot({3000, 0, 0}));
    auto record = of_account(pool_driver::make_submission(4));
    record.spec.steps[0].gang = true;
    pool.submit(record);
    EXPECT_EQ(starts_in(pool.tick()), 0U);
    pool.apply(allot({4000, 0, 0}, 2));
    EXPECT_EQ(starts_in(pool.tick()), 4U);
}

// Load pattern: best-effort tasks of an account fill the hosts.
TEST(account_limits, best_effort_tasks_count_with_their_cores)
{
    pool_driver pool;
    pool.connect_hosts({"h1"});
    pool.apply(limited_to({8000, 0, 0}));
    pool.apply(allot({3000, 0, 0}));
    auto record = of_account(pool_driver::make_submission(8));
    record.spec.steps[0].best_effort = true;
    pool.submit(record);
    EXPECT_EQ(starts_in(pool.tick()), 3U);
}

// Load pattern: owners are lost while an account uses its whole part.
TEST(account_limits, runs_of_a_predecessor_use_the_allotment_once_settled)
{
    pool_driver pool(2);
    auto record = of_account(pool_driver::make_submission(4));
    record.epoch = 1;
    pool.engine.restore(record, pool.now, [](submission_state&) {});
    pool.engine.restore_host(
        {"h1", 1ms, "pool", "127.0.0.1:1", false, {}}, pool.now);
    pool.begin();
    pool.apply(limited_to({8000, 0, 0}));
    pool.apply(allot({3000, 0, 0}, 1, 2));
    pool.list_hosts({"h1"});
    pool.store();
    EXPECT_FALSE(pool.engine.budget().is_settled());
    pool.hold(
        "h1",
        {{{0x11, 0, 0, 0}, 1, {}, 10, 0}, {{0x11, 0, 0, 1}, 1, {}, 10, 0}});
    EXPECT_EQ(starts_in(pool.tick()), 1U);
    EXPECT_TRUE(pool.engine.budget().is_settled());
    EXPECT_EQ(pool.engine.budget().accounts()[0].used.cpu_milli, 3000);
}

// Load pattern: a burst is held back for long; the log must not grow with it.
TEST(account_limits, log_tells_begin_and_end_of_being_held_back_once)
{
    pool_driver pool;
    pool.connect_hosts({"h1"});
    pool.apply(limited_to({8000, 0, 0}));
    pool.submit(of_account(pool_driver::make_submission(4)));
    std::vector<std::string_view> names;
    const auto tick = [&] {
        std::ranges::copy(decisions_in(pool.tick()), std::back_inserter(names));
        pool.advance(100ms);
        pool.hold("h1");
    };
    for (int i = 0; i < 30; ++i)
        tick();
    EXPECT_EQ(std::ranges::count(names, "account_held"), 1);
    pool.apply(allot({4000, 0, 0}));
    for (int i = 0; i < 30; ++i)
        tick();
    EXPECT_EQ(std::ranges::count(names, "account_held"), 1);
    EXPECT_EQ(std::ranges::count(names, "account_released"), 1);
}

} // namespace dandeliontack
