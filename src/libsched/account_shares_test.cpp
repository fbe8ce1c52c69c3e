// Load patterns: one account sends several times what it is entitled to, beside
// others that stay within it; a pool with room; a burst on a pool that rests.

#include "pool_driver.hpp"
#include <dandeliontack/account_shares.hpp>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>

namespace dandeliontack::test
{

namespace
{

using std::chrono::milliseconds;
using wall = std::chrono::sys_time<milliseconds>;

constexpr auto length = 10'000ms;
constexpr double weight = 8;
constexpr unsigned accounts = 20;

std::string account_name(unsigned number)
{
    return "a" + std::to_string(number);
}

std::shared_ptr<const account_table> make_accounts(double each)
{
    auto table = std::make_shared<account_table>();
    for (unsigned i = 0; i < accounts; ++i)
        table->add({account_name(i), each, 0, {}}, {});
    return table;
}

submission_record make_record(std::uint64_t id, unsigned account, moment now)
{
    auto out = pool_driver::make_submission(4, id);
    out.spec.steps[0].need = {4000, 1000, 0};
    out.account = account_name(account);
    out.accepted = now.wall;
    return out;
}

// A pool of one host that runs four tasks at a time, in which the first
// account has submitted `excess` submissions beyond its entitlement of one.
pool_driver make_full_pool(unsigned excess)
{
    pool_driver driver;
    driver.connect_hosts({"h"});
    driver.apply(pool_event::accounts_changed{make_accounts(1), 1});
    for (unsigned i = 0; i <= excess; ++i)
        driver.submit(make_record(i + 1, 0, driver.now));
    driver.tick();
    return driver;
}

} // namespace

TEST(account_entitlement, account_at_seven_times_its_weight_gets_its_weight)
{
    account_entitlement entitlement;
    unsigned within = 0;
    for (unsigned i = 0; i < 7 * weight * 10; ++i)
        within += entitlement.take(
            "hot", weight, wall(milliseconds(i * 1000 / (7 * 8))));
    EXPECT_GE(within, weight * 10);
    EXPECT_LE(within, weight * 11 + 1);
}

RC_GTEST_PROP(
    account_entitlement, account_within_its_weight_is_never_marked, ())
{
    account_entitlement entitlement;
    wall at{1h};
    for (int i = 0; i < 200; ++i)
    {
        at += milliseconds(*rc::gen::inRange(125, 400));
        entitlement.take("hot", weight, at);
        RC_ASSERT(entitlement.take("calm", weight, at));
    }
}

RC_GTEST_PROP(
    fair_order, shares_of_waiting_accounts_are_within_one_task_of_fair, ())
{
    fair_order order;
    std::array<double, 4> weights{};
    std::array<double, 4> served{};
    for (auto& w : weights)
        w = *rc::gen::inRange(1, 20);
    constexpr int largest_task = 10;
    // An account that has not waited before gets no credit for that.
    const auto late = *rc::gen::inRange<std::size_t>(0, weights.size());
    for (int i = 0; i < 600; ++i)
    {
        const bool all_wait = i >= 300;
        if (i == 300)
            served = {};
        std::size_t next = late == 0 ? 1 : 0;
        for (std::size_t a = 0; a < weights.size(); ++a)
            if ((all_wait || a != late) &&
                order.start_tag(account_name(a)) <
                    order.start_tag(account_name(next)))
                next = a;
        const double work = *rc::gen::inRange(1, largest_task + 1);
        order.charge(account_name(next), weights[next], work);
        served[next] += work;
    }
    for (std::size_t a = 0; a < weights.size(); ++a)
        for (std::size_t b = 0; b < weights.size(); ++b)
            RC_ASSERT(
                served[a] / weights[a] - served[b] / weights[b] <=
                largest_task / weights[a] + largest_task / weights[b] + 1e-9);
}

TEST(account_shares, work_within_an_entitlement_goes_before_excess)
{
    auto driver = make_full_pool(20);
    driver.submit(make_record(100, 1, driver.now));
    constexpr std::uint32_t ended = 4;
    std::vector<ended_row> ends;
    ends.reserve(ended);
    for (std::uint32_t i = 0; i < ended; ++i)
        ends.push_back({i + 1, {1, 0, 0, i}, 1, run_outcome::done, {}});
    driver.hold("h", {}, ends);
    driver.store();
    const auto starts =
        pool_driver::effects_of<pool_effect::start>(driver.tick());
    ASSERT_EQ(starts.size(), 4U);
    for (const auto& start : starts)
        EXPECT_EQ(start.task.submission, 100U);
}

TEST(account_shares, excess_is_served_where_there_is_room)
{
    pool_driver driver;
    driver.connect_hosts({"h"});
    driver.apply(pool_event::accounts_changed{make_accounts(1), 1});
    driver.submit(make_record(1, 0, driver.now));
    const auto before =
        pool_driver::effects_of<pool_effect::start>(driver.tick());
    EXPECT_EQ(before.size(), 4U);
    driver.list_hosts({"h", "i"});
    driver.store();
    driver.hold("i");
    driver.submit(make_record(2, 0, driver.now));
    ASSERT_TRUE(driver.engine.state_of(2)->is_excess);
    const auto starts =
        pool_driver::effects_of<pool_effect::start>(driver.tick());
    EXPECT_EQ(starts.size(), 4U);
}

TEST(account_shares, excess_that_cannot_be_done_in_time_is_refused)
{
    auto driver = make_full_pool(20);
    const auto check = [&](std::uint64_t id, unsigned account) {
        return driver.engine.refusal_of(
            make_record(id, account, driver.now), driver.now);
    };
    // Machines that were ordered for the burst may still join the pool.
    driver.advance(500ms);
    EXPECT_FALSE(check(100, 0));
    driver.advance(1100ms);
    for (std::uint64_t id = 100; id < 102; ++id)
        driver.submit(make_record(id, 0, driver.now));
    driver.tick();
    const auto first = check(200, 0);
    const auto second = check(201, 0);
    ASSERT_TRUE(first);
    ASSERT_TRUE(second);
    EXPECT_EQ(first->cause, refusal_cause::beyond_share);
    EXPECT_GT(second->retry_after, first->retry_after);
    // Accounts within their weight, and copies of what was accepted, are not.
    EXPECT_FALSE(check(200, 1));
    EXPECT_FALSE(check(20, 0));
}

TEST(account_shares, successor_derives_the_marks_from_what_is_stored)
{
    pool_driver driver(2);
    for (std::uint64_t id = 1; id <= 5; ++id)
        driver.restore(make_record(id, 0, driver.now));
    driver.begin();
    driver.apply(pool_event::accounts_changed{make_accounts(2), 1});
    unsigned marked = 0;
    for (std::uint64_t id = 1; id <= 5; ++id)
        marked += driver.engine.state_of(id)->is_excess;
    EXPECT_EQ(marked, 3U);
}

TEST(submission_refusal, text_of_other_versions_decodes_as_unavailable)
{
    const submission_refusal refusal{refusal_cause::beyond_share, 2500ms};
    EXPECT_EQ(decode_submission_refusal(encode(refusal)), refusal);
    for (const auto* text :
         {"", "beyond-share", "beyond-share x", "beyond-share -1", "late 100"})
        EXPECT_EQ(decode_submission_refusal(text), submission_refusal{});
}

} // namespace dandeliontack::test
